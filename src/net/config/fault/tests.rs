use super::*;

#[test]
fn long_values_are_cut_at_a_character() {
    assert_eq!(shown(&Value::from("é".repeat(60))).chars().count(), 43);
    assert_eq!(shown(&Value::from("é")), "\"é\"");
    assert_eq!(shown(&serde_json::json!([1, 2])), "a list of 2");
}
