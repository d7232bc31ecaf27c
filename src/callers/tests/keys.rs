//! Tests of API key lookup, and that keys do not appear in debug output.

use crate::callers::{ApiKey, ApiKeyIndex, Organisation};
use proptest::prelude::*;

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.into(),
        priority: None,
        quota: None,
    }
}

fn index(listed: &[(&str, &[&str])]) -> ApiKeyIndex {
    let listed = listed.iter().map(|(name, keys)| {
        let keys = keys.iter().map(|key| ApiKey::new(key.as_bytes()));
        (organisation(name), keys.collect())
    });
    ApiKeyIndex::new(listed.collect())
}

fn holder(index: &ApiKeyIndex, key: &str) -> Option<String> {
    let holder = index.holder(&ApiKey::new(key.as_bytes()))?;
    Some(holder.name.to_string())
}

#[test]
fn a_key_identifies_the_organisation_that_lists_it() {
    let index = index(&[("north", &["a", "b"]), ("south", &["c"])]);
    assert_eq!(holder(&index, "a").as_deref(), Some("north"));
    assert_eq!(holder(&index, "b").as_deref(), Some("north"));
    assert_eq!(holder(&index, "c").as_deref(), Some("south"));
    assert_eq!(holder(&index, "d"), None);
    assert_eq!(holder(&index, ""), None);
    assert!(index.shared_keys().is_empty());
}

#[test]
fn a_key_listed_twice_identifies_no_organisation_and_is_reported() {
    let listed: &[(&str, &[&str])] = &[("north", &["a", "b"]), ("south", &["b"])];
    let index = index(listed);
    assert_eq!(holder(&index, "a").as_deref(), Some("north"));
    assert_eq!(holder(&index, "b"), None);
    let shared = index.shared_keys();
    assert_eq!(shared.len(), 1);
    assert_eq!(shared[0].organisations, ["north", "south"]);
}

#[test]
fn a_key_is_not_printed() {
    let index = index(&[("north", &["secret-of-north"])]);
    let key = ApiKey::new(b"secret-of-north");
    for text in [format!("{key:?}"), format!("{index:?}")] {
        assert!(!text.contains("secret-of-north"), "{text}");
        let bytes = format!("{:?}", b"secret-of-north");
        assert!(!text.contains(bytes.trim_matches(['[', ']'])), "{text}");
    }
}

proptest! {
    #[test]
    fn exactly_the_listed_keys_are_found(
        listed in proptest::collection::btree_set(".{0,24}", 1..40),
        looked_up in ".{0,24}",
    ) {
        let keys: Vec<&str> = listed.iter().map(String::as_str).collect();
        let index = index(&[("north", &keys)]);
        prop_assert_eq!(holder(&index, &looked_up).is_some(), listed.contains(&looked_up));
        for key in &keys {
            prop_assert!(holder(&index, key).is_some());
        }
    }
}
