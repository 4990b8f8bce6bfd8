//! Command lines of the fake platform and the fake backend servers.

use std::path::{Path, PathBuf};

use anyhow::bail;

use super::fleet::FleetSettings;
use super::layout::ServerSpec;
use super::process::{EnvVar, Program};

/// Time until readers of the instance list see a change.
const LIST_LAG: &str = "500ms";
/// Number of worker threads of each fake.
const FAKE_THREADS: EnvVar = EnvVar {
    name: "ASYNC_STD_THREAD_COUNT",
    value: "2",
};

/// Returns the command line of the fake platform, listening at `addr`.
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
        env: vec![FAKE_THREADS],
    }
}

/// Returns the command line of a fake backend server.
pub fn server(settings: &FleetSettings, spec: &ServerSpec) -> anyhow::Result<Program> {
    let log = execution_log(&settings.logs, &spec.declared.name);
    let Some(log) = log.to_str() else {
        bail!("the path {} is not UTF-8", log.display());
    };
    let mut args = flags(&[
        ("--listen", &spec.declared.addr),
        ("--name", &spec.declared.name),
        ("--log", log),
        ("--kind", spec.pool.kind),
        ("--service-time", &format!("{}ms", spec.pool.service_ms)),
        ("--capacity", &spec.pool.capacity.to_string()),
        ("--seed", &settings.seed.to_string()),
    ]);
    if spec.declared.answers_status {
        args.push("--answers-status".into());
    }
    if spec.declared.fencing {
        args.push("--fencing".into());
    }
    Ok(Program {
        name: spec.declared.name.to_string(),
        executable: settings.programs.join("sardine-fake-server"),
        args,
        env: vec![FAKE_THREADS],
    })
}

/// Flattens pairs of flags and values into arguments.
#[must_use]
pub fn flags(pairs: &[(&str, &str)]) -> Vec<String> {
    let texts = pairs.iter().flat_map(|(flag, value)| [*flag, *value]);
    texts.map(ToOwned::to_owned).collect()
}

/// Path of the execution log of a backend server.
#[must_use]
pub fn execution_log(logs: &Path, server: &str) -> PathBuf {
    logs.join(format!("{server}.execution"))
}
