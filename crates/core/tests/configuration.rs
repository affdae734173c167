//! Configuration file of the platform, and the settings in it.

use aggregator_core::config::Config;

#[test]
fn json_settings_mean_the_same_as_key_value_settings() {
    let settings = serde_json::json!({
        "classes": [{"name": "a b", "aim_ns": 2, "give_up_ns": 6, "semantics": "read_like"}],
        "extra": {"places": 1, "reach": 1, "ranges": 2, "class_need": [1.0], "least_share": [0.6],
            "partial_earns": [0.9], "second_step": [0]},
        "replicas_of_me": 1, "tick_ns": 5, "localities": ["n", "s"],
    });
    let config = |settings: &serde_json::Value| {
        let file = serde_json::json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "seed": "8c1f30d27a5be964", "settings": settings});
        Config::parse(&file.to_string())
    };
    let parsed = config(&settings).unwrap();
    assert_eq!(
        (
            parsed.aggregator_settings.zones.len(),
            parsed.aggregator_settings.classes[0].as_str()
        ),
        (2, "a_b")
    );
    assert_eq!(
        (
            parsed.policy_settings.classes[0].minimum_coverage,
            parsed.seed
        ),
        (0.6, 0x8c1f_30d2_7a5b_e964)
    );
    let mut invalid = settings.clone();
    invalid["tick_ns"] = 0.into();
    assert!(config(&invalid)
        .unwrap_err()
        .to_string()
        .contains("tick_ns"));
    invalid["extra"]["second_step"][0] = 3.into();
    assert!(config(&invalid).is_err());
}

#[test]
fn the_memory_limit_is_stated_in_megabytes() {
    let settings = serde_json::json!({
        "classes": [{"name": "a", "aim_ns": 2, "give_up_ns": 6, "semantics": "read_like"}],
        "extra": {"places": 1, "reach": 1, "ranges": 2, "class_need": [1.0], "least_share": [0.6],
            "partial_earns": [0.9], "second_step": [0]},
        "replicas_of_me": 1, "tick_ns": 5,
    });
    let config = |limits: serde_json::Value| {
        let file = serde_json::json!({"name": "n0", "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1", "seed": "1", "limits": limits, "settings": settings});
        Config::parse(&file.to_string()).unwrap()
    };
    let small = config(serde_json::json!({"memory_mb": 32, "sockets": 256}));
    let unstated = config(serde_json::json!({"sockets": 256}));
    assert_eq!(small.memory_limit, 32 * 1024 * 1024);
    assert_eq!(unstated.memory_limit, 192 * 1024 * 1024);
    assert_eq!(small.fields_requiring_restart(&unstated), ["limits"]);
}
