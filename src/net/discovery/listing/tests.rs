use super::*;

fn read(list: &str) -> Result<Vec<(String, Availability)>, serde_json::Error> {
    let listing: Listing = serde_json::from_str(&format!(r#"{{"seq":1,"whole":true,"hosts":{list}}}"#))?;
    Ok(listing.hosts.iter().map(|host| (host.entry().id.to_string(), host.entry().availability)).collect())
}

// Guards against an entry that hides others because something in it is invalid, and one that is served by mistake.
#[test]
fn an_invalid_entry_is_draining_or_ignored_and_hides_no_other() {
    let ready = r#"{"host":"ready","health":"ready"}"#;
    let draining = ("bad".to_owned(), Availability::Draining);
    let cases = [
        (r#"{"host":"bad","health":7}"#, Some(draining.clone())),
        (r#"{"host":"bad"}"#, Some(draining.clone())),
        (r#"{"host":"bad","health":"ready","share":1e999}"#, Some(draining)),
        (r#"{"health":"ready"}"#, None),
        ("7", None),
        ("[[[[]]]]", None),
    ];
    for (entry, expected) in cases {
        let expected: Vec<_> =
            expected.into_iter().chain([("ready".to_owned(), Availability::Ready)]).collect();
        assert_eq!(read(&format!("[{entry},{ready}]")).unwrap(), expected, "{entry}");
    }
}

// Guards against a list of so many entries that they exceed the node's memory, and against a limit that is too low.
#[test]
fn the_number_of_entries_is_limited() {
    let list_of = |entries| format!("[{}]", vec![r#"{"host":"a","health":"ready"}"#; entries].join(","));
    assert_eq!(read(&list_of(MAX_ENTRIES)).unwrap().len(), MAX_ENTRIES);
    assert!(read(&list_of(MAX_ENTRIES + 1)).unwrap_err().to_string().contains("more than 16384 entries"));
}
