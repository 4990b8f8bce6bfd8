//! How the stand-ins are called.

use std::path::{Path, PathBuf};

use anyhow::bail;

use super::fleet::FleetSettings;
use super::layout::ServerPlan;
use super::process::{Program, Variable};

/// Time until the platform's instance list shows a change.
const LIST_LAG: &str = "500ms";
/// Worker threads of each stand-in.
const STAND_IN_THREADS: Variable = Variable {
    name: "ASYNC_STD_THREAD_COUNT",
    value: "2",
};

/// The platform, listening at `addr`.
#[must_use]
pub fn platform(settings: &FleetSettings, addr: &str) -> Program {
    Program {
        name: "platform".into(),
        executable: settings.programs.join("sardine-fake-platform"),
        args: flags(&[
            ("--listen", addr),
            ("--lag", LIST_LAG),
            ("--seed", &settings.seed.to_string()),
        ]),
        env: vec![STAND_IN_THREADS],
    }
}

/// A backend server.
pub fn server(settings: &FleetSettings, plan: &ServerPlan) -> anyhow::Result<Program> {
    let log = execution_log(&settings.logs, &plan.declared.name);
    let Some(log) = log.to_str() else {
        bail!("{} is not UTF-8", log.display());
    };
    let mut args = flags(&[
        ("--listen", &plan.declared.addr),
        ("--name", &plan.declared.name),
        ("--log", log),
        ("--kind", plan.pool.kind),
        ("--service-time", &format!("{}ms", plan.pool.service_ms)),
        ("--capacity", &plan.pool.capacity.to_string()),
        ("--seed", &settings.seed.to_string()),
    ]);
    if plan.declared.answers_status {
        args.push("--answers-status".into());
    }
    if plan.declared.fencing {
        args.push("--fencing".into());
    }
    Ok(Program {
        name: plan.declared.name.to_string(),
        executable: settings.programs.join("sardine-fake-server"),
        args,
        env: vec![STAND_IN_THREADS],
    })
}

/// Flags with their values.
#[must_use]
pub fn flags(pairs: &[(&str, &str)]) -> Vec<String> {
    let texts = pairs.iter().flat_map(|(flag, value)| [*flag, *value]);
    texts.map(ToOwned::to_owned).collect()
}

/// Where a backend server writes its execution log.
#[must_use]
pub fn execution_log(logs: &Path, server: &str) -> PathBuf {
    logs.join(format!("{server}.execution"))
}
