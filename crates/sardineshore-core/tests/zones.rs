//! When work leaves its failure domain, and how much.

#[path = "zones/replay.rs"]
mod replay;

use std::time::Duration;

use replay::{Load, run};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn wave(phase: f64, t: f64) -> f64 {
    0.75 * (1.0 + 0.55 * (std::f64::consts::TAU * (t / 17.0 + phase)).sin())
}

#[test]
fn probe() {
    for instances in [3, 30, 300] {
        for cells in [3, 4] {
            let load = Load {
                instances,
                cells,
                demand: |c, t| wave(c as f64 / 3.0, t),
                ..Load::default()
            };
            let o = run(&load, ms(300));
            println!(
                "waves {instances} {cells}: left {:.3} needed {:.3} longest {:?} over {:.4}",
                o.left, o.needed, o.longest, o.over
            );
        }
        let load = Load {
            instances,
            capacity: |c, _| if c == 0 { 0.5 } else { 1.0 },
            demand: |_, _| 0.75,
            ..Load::default()
        };
        let o = run(&load, ms(300));
        println!(
            "half {instances}: left {:.3} needed {:.3} longest {:?} over {:.4}",
            o.left, o.needed, o.longest, o.over
        );
        let load = Load {
            instances,
            demand: |c, t| {
                if c == 0 && (15.0..30.0).contains(&t) {
                    1.4
                } else {
                    0.6
                }
            },
            ..Load::default()
        };
        let o = run(&load, ms(300));
        println!(
            "step {instances}: left {:.3} needed {:.3} longest {:?} over {:.4}",
            o.left, o.needed, o.longest, o.over
        );
        println!("  {:.2?}\n {:.0?}", o.left_by_second, o.queue_by_second);
        let load = Load {
            instances,
            demand: |_, _| 0.85,
            ..Load::default()
        };
        let o = run(&load, ms(300));
        println!(
            "flat .85 {instances}: left {:.3} needed {:.3} longest {:?} over {:.4}",
            o.left, o.needed, o.longest, o.over
        );
        let load = Load {
            instances,
            demand: |_, _| 1.2,
            ..Load::default()
        };
        let o = run(&load, ms(300));
        println!(
            "flat 1.2 {instances}: left {:.3} needed {:.3} longest {:?} over {:.4}",
            o.left, o.needed, o.longest, o.over
        );
        for (loss, delay) in [(0.0, 500), (0.5, 0), (0.9, 300), (0.5, 500)] {
            let load = Load {
                instances,
                loss,
                delay: ms(delay),
                demand: |c, t| wave(c as f64 / 3.0, t),
                ..Load::default()
            };
            let o = run(&load, ms(300));
            println!(
                "late {delay} loss {loss} {instances}: left {:.3} needed {:.3} longest {:?} over {:.4}",
                o.left, o.needed, o.longest, o.over
            );
        }
    }
}
