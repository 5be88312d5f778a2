//! Invalid scenarios are rejected with one line that names the key.

use foldhitch_scale_test::scenario::Scenario;

const TARGET_SCENARIO: &str = include_str!("../scenarios/target.toml");

#[test]
fn target_scenario_has_expected_values() {
    let scenario = Scenario::parse(TARGET_SCENARIO).expect("the target scenario is valid");
    let target = &scenario.target;

    assert_eq!(scenario.sizes, [90, 180, 360, 720]);
    assert_eq!(
        (target.backends, target.services, target.depth, target.regions, target.zones),
        (720, 29, 10, 3, 8)
    );
    assert_eq!((target.calls_per_s, target.added_p99_ms, target.changes_per_day), (47_000.0, 0.86, 2400.0));
    assert_eq!((target.in_force_within_s, target.control_core_share), (4.0, 0.032));
    assert_eq!((target.control_memory_mb, target.control_kb_per_s, target.control_machines), (32.0, 10.0, 8));
    assert_eq!((target.machine_failures_per_day, target.restarts_per_day), (3.0, 62.0));
    assert_eq!(
        (scenario.limits.memory_gb, scenario.limits.processes, scenario.limits.run_s),
        (10.0, 300, 300.0)
    );
}

#[test]
fn errors_are_one_line_and_name_the_key() {
    for (original, replacement, key) in [
        ("services = 29", "services = 29\nservice = 3", "target"),
        ("services = 29\n", "", "services"),
        ("seed = 1", "seed = -1", "seed"),
        ("seed = 1", "seed = 1\nsede = 1", "sede"),
        ("sizes = [90, 180, 360, 720]", "sizes = []", "sizes"),
        ("sizes = [90, 180, 360, 720]", "sizes = [90, 0]", "sizes[1]"),
        ("sizes = [90, 180, 360, 720]", "sizes = [90, -5]", "sizes[1]"),
        ("sizes = [90, 180, 360, 720]", "sizes = [90, 40000]", "sizes[1]"),
        ("sizes = [90, 180, 360, 720]", "sizes = 90", "sizes"),
        ("services = 29", "services = 0", "target.services"),
        ("zones = 8", "zones = 2", "target.regions"),
        ("depth = 10", "depth = 30", "target.depth"),
        ("changes_per_day = 2400.0", "changes_per_day = -1.0", "target.changes_per_day"),
        ("added_p99_ms = 0.86", "added_p99_ms = nan", "target.added_p99_ms"),
        ("added_p99_ms = 0.86", "added_p99_ms = \"soon\"", "target.added_p99_ms"),
        ("processes = 300", "processes = 301", "limits.processes"),
        ("memory_gb = 10.0", "memory_gb = 64.0", "limits.memory_gb"),
        ("run_s = 300.0", "run_s = 900.0", "limits.run_s"),
        ("slots = 1 ", "slots = 0 ", "backend.slots"),
        ("spread_ms = [15.0, 110.0]", "spread_ms = [15.0, 11.0]", "discovery.spread_ms[1]"),
        ("mix = [0.7, 0.2, 0.1]", "mix = [0.7, 0.3]", "calls.mix"),
        ("mix = [0.7, 0.2, 0.1]", "mix = [0.7, 0.4, -0.1]", "calls.mix[2]"),
        ("aim = 600.0", "aim = -600.0", "classes[1].aim"),
        ("tick = 5.0\n", "", "tick"),
        ("seed = 1", "seed = = 1", "line 3"),
    ] {
        let text = TARGET_SCENARIO.replacen(original, replacement, 1);
        assert_ne!(text, TARGET_SCENARIO, "{original}");

        let error = Scenario::parse(&text).expect_err(replacement).to_string();

        assert!(error.contains(key) && error.lines().count() == 1, "{replacement}: {error}");
    }
}

#[test]
fn missing_file_is_named_in_the_error() {
    let path = std::path::Path::new("no/such/scenario.toml");

    let error = Scenario::load(path).expect_err("the file is missing").to_string();

    assert!(error.contains("no/such/scenario.toml") && error.lines().count() == 1, "{error}");
}
