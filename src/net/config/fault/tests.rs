use super::*;

#[test]
fn long_values_are_truncated_at_a_character_boundary() {
    assert_eq!(excerpt(&Value::from("é".repeat(60))).chars().count(), 43);
    assert_eq!(excerpt(&Value::from("é")), "\"é\"");
    assert_eq!(excerpt(&serde_json::json!([1, 2])), "a list of 2");
}
