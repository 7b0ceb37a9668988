//! Parsing of a gateway's settings, and of the settings template for the deploy file.

use carawayseam_gateway::settings::Settings;
use carawayseam_types::Millis;

const VALID: &str = "host: front-a1\nzone: zone-a\ncallers: 10.0.0.1:80\nadmin: 10.0.0.1:81\n\
ready_path: /ready\npeers: 10.0.0.1:82\nstore: 10.0.0.9:83\nmax_key_age: 5000ms\nstop_within: 7.5s\n\
quota_tolerance: 140000\nretries: { ratio: 0.2, extra: 54 }\n";

#[test]
fn valid_settings_are_read() {
    let settings = Settings::from_yaml("a.yaml", VALID).expect("the settings are valid");
    assert_eq!(settings.stop_within, Millis(7_500));
    assert_eq!(settings.traffic_threads, 1);
    assert_eq!(settings.metrics, None);
}

macro_rules! rejected {
    ($name:ident: $from:expr => $to:expr, $error:expr) => {
        #[test]
        fn $name() {
            let text = VALID.replace($from, $to);
            assert_ne!(text, VALID);
            let e = Settings::from_yaml("a.yaml", &text).expect_err("the settings are invalid");
            assert!(e.to_string().contains($error), "{e}");
        }
    };
}

rejected!(an_unknown_field: "zone:" => "region: r\nzone:", "a.yaml:2");
rejected!(a_missing_field: "store: 10.0.0.9:83\n" => "", "store");
rejected!(no_threads: "stop_within" => "traffic_threads: 0\nstop_within", "traffic_threads: expected at least 1 thread");
rejected!(a_path_without_a_slash: "/ready" => "ready", "ready_path: expected a path that begins with /");
rejected!(a_ratio_above_one: "0.2" => "2.0", "retries.ratio: expected a share from 0 to 1");
rejected!(a_negative_number: "54" => "-1", "retries.extra: expected 0 or more");
rejected!(a_negative_tolerance: "140000" => "-1", "quota_tolerance: expected 0 tokens or more");
rejected!(too_little_memory: "stop_within" => "memory: 1MiB\nstop_within", "memory: expected 16MiB or more");
rejected!(a_mesh_of_one: "stop_within" => "full_mesh_hosts: 1\nstop_within", "full_mesh_hosts: expected from 2 to 64 hosts");
rejected!(too_large_a_mesh: "stop_within" => "full_mesh_hosts: 65\nstop_within", "full_mesh_hosts: expected from 2 to 64 hosts");
rejected!(too_few_client_connections: "stop_within" => "max_client_connections: 15\nstop_within", "max_client_connections: expected from 16 to 1000000 connections");
rejected!(too_many_client_connections: "stop_within" => "max_client_connections: 1000001\nstop_within", "max_client_connections: expected from 16 to 1000000 connections");
rejected!(too_few_admin_connections: "stop_within" => "max_admin_connections: 3\nstop_within", "max_admin_connections: expected from 4 to 1024 connections");
rejected!(too_many_admin_connections: "stop_within" => "max_admin_connections: 1025\nstop_within", "max_admin_connections: expected from 4 to 1024 connections");
rejected!(a_memory_without_a_unit: "stop_within" => "memory: 110\nstop_within", "`110` is not a valid size");
rejected!(a_zero_key_age: "5000ms" => "0ms", "max_key_age: expected more than 0ms");
rejected!(an_address_without_a_port: "10.0.0.9:83" => "10.0.0.9", "a.yaml:7");

#[test]
fn the_deploy_files_template_names_only_known_settings() {
    let template = include_str!("../../../deploy/settings.yaml");
    let filled = template
        .replace("{{listen.front}}", "10.0.0.1:80")
        .replace("{{listen.ready}}", "10.0.0.1:81")
        .replace("{{ip_addr}}", "10.0.0.1")
        .replace("{{port_range.0}}", "7600")
        .replace("{{platform.address}}", "10.0.0.9:83")
        .replace("{{bounds.revoke_ms}}", "5000")
        .replace("{{bounds.grace_s}}", "8")
        .replace("{{bounds.retry_ratio}}", "0.2")
        .replace("{{bounds.retry_slack}}", "54")
        .replace("{{bounds.quota_slack}}", "140000")
        .replace("{{node}}", "front-a1")
        .replace("{{zone}}", "zone-a");
    assert!(!filled.contains("{{"), "{filled}");
    Settings::from_yaml("settings.yaml", &filled).expect("the template is valid");
}
