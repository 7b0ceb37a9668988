//! Settings are parsed and validated; errors contain the file, line and field.

use carawayseam_node::{Settings, SettingsError};
use carawayseam_types::Millis;

const GOOD: &str = "\
host: entry-a1
zone: sfax-a
environments: [ben-slama]
callers: 10.20.1.5:8080
admin: 10.20.1.5:8081
peers: 10.20.1.5:8082
seeds: [10.20.2.5:8082]
store: http://10.20.0.9:2379
host_list: http://10.20.0.9:2380
drain_notice: 8s
";

#[test]
fn good_settings_are_read() {
    let settings = Settings::from_yaml("entry.yaml", GOOD).expect("the settings are valid");
    assert_eq!(settings.drain_notice, Millis::from_secs(8));
    assert_eq!(settings.seeds.len(), 1);
    assert_eq!(settings.traffic_threads, 4);
}

#[test]
fn missing_file_is_named() {
    let error = Settings::read("no-such-file.yaml").expect_err("there is no such file");
    assert!(matches!(error, SettingsError::Unreadable { .. }), "{error}");
    assert!(error.to_string().starts_with("no-such-file.yaml"), "{error}");
}

/// Defines a test that replaces one line of valid settings and expects an error.
macro_rules! refused {
    ($name:ident, $from:literal => $to:literal, $error:pat) => {
        #[test]
        fn $name() {
            assert!(
                GOOD.contains($from),
                "the replaced line is not in the settings"
            );
            let text = GOOD.replacen($from, $to, 1);
            let error = Settings::from_yaml("entry.yaml", &text).expect_err("the settings are invalid");
            assert!(matches!(error, $error), "{error:?}");
            assert!(error.to_string().starts_with("entry.yaml"), "{error}");
        }
    };
}

refused!(unknown_field, "drain_notice: 8s" => "drain: 8s", SettingsError::Shape { line: 10, .. });
refused!(span_without_unit, "drain_notice: 8s" => "drain_notice: 8", SettingsError::Shape { line: 10, .. });
refused!(host_with_a_slash, "host: entry-a1" => "host: entry/a1", SettingsError::Shape { line: 1, .. });
refused!(address_without_port, "callers: 10.20.1.5:8080" => "callers: 10.20.1.5", SettingsError::Shape { line: 4, .. });
refused!(
    no_environment,
    "environments: [ben-slama]" => "environments: []",
    SettingsError::OutOfRange { field: "environments", .. }
);
refused!(
    store_without_scheme,
    "store: http://10.20.0.9:2379" => "store: 10.20.0.9",
    SettingsError::OutOfRange { field: "store", .. }
);
refused!(
    no_threads,
    "drain_notice: 8s" => "traffic_threads: 0",
    SettingsError::OutOfRange { field: "traffic_threads", .. }
);
