//! Guards against settings that are checked but have no effect.
#![allow(missing_docs, clippy::pedantic, reason = "tests name their failures in their names and comments")]

use poplarpaddle::path::MemberId;
use poplarpaddle_balancer::daemon::control_settings;
use poplarpaddle_io::settings::{Members, Settings, Targets};

#[test]
fn the_control_plane_gets_the_intervals_of_the_settings_file() {
    let settings = Settings {
        members: Members { ping_ms: 70, suspect_ms: 800, ..Default::default() },
        targets: Targets { poll_ms: 250, ..Default::default() },
        ..Default::default()
    };
    let control = control_settings(&settings, MemberId(1));
    assert_eq!((control.membership.ping_ms, control.membership.suspect_ms), (70, 800));
    assert_eq!(control.health.poll_ms, 250);
}
