//! Valid and invalid configurations.

use super::*;
use serde_json::json;

/// Guards against an error message that does not name the invalid key.
#[test]
fn an_error_message_names_the_invalid_key() {
    let settings = json!({
        "allowed": {"attemptsCap": 3}, "classes": [], "discovery": "pushed", "replicasOfMe": 1,
        "report": {}, "stepMs": 5,
        "safety": {"coldFrom": 0.3, "overloadFactor": 2, "tipAfterMs": 1500, "warmUpMs": 9000},
    });
    let with = |key: &str, value: Value| {
        let mut config = json!({ "settings": settings });
        config[key] = value;
        Config::from_value(&config, &Clock::start())
    };
    assert!(with("name", json!("n1")).is_ok());
    let invalid_values = [
        ("listen", json!("nowhere")),
        ("ops", json!("8080")),
        ("seed", json!("xyz")),
        ("resolver", json!(7)),
        ("limits", json!({"sockets": 3})),
        ("limits", json!({"memory_mb": 3})),
        ("page_bytes", json!(0)),
        ("known", json!({"notices": [{"rev": 1}]})),
        ("settings", json!({})),
    ];
    for (key, value) in invalid_values {
        let message = with(key, value).expect_err(key).to_string();
        assert!(message.contains(key), "{key}: {message}");
    }
}
