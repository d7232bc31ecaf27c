//! Keys are found by what they are, and shown to nobody.

use crate::callers::{ApiKey, ApiKeyIndex, Organisation};
use proptest::prelude::*;

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.into(),
        priority: None,
        quota: None,
    }
}

fn register(listed: &[(&str, &[&str])]) -> ApiKeyIndex {
    let listed = listed.iter().map(|(name, keys)| {
        let keys = keys.iter().map(|key| ApiKey::new(key.as_bytes()));
        (organisation(name), keys.collect())
    });
    ApiKeyIndex::new(listed.collect())
}

fn holder(register: &ApiKeyIndex, key: &str) -> Option<String> {
    let holder = register.holder(&ApiKey::new(key.as_bytes()))?;
    Some(holder.name.to_string())
}

#[test]
fn a_key_names_the_organisation_that_lists_it() {
    let register = register(&[("north", &["a", "b"]), ("south", &["c"])]);
    assert_eq!(holder(&register, "a").as_deref(), Some("north"));
    assert_eq!(holder(&register, "b").as_deref(), Some("north"));
    assert_eq!(holder(&register, "c").as_deref(), Some("south"));
    assert_eq!(holder(&register, "d"), None);
    assert_eq!(holder(&register, ""), None);
    assert!(register.shared_keys().is_empty());
}

#[test]
fn a_key_listed_twice_is_nobodys_and_told() {
    let listed: &[(&str, &[&str])] = &[("north", &["a", "b"]), ("south", &["b"])];
    let register = register(listed);
    assert_eq!(holder(&register, "a").as_deref(), Some("north"));
    assert_eq!(holder(&register, "b"), None);
    let shared = register.shared_keys();
    assert_eq!(shared.len(), 1);
    assert_eq!(shared[0].organisations, ["north", "south"]);
}

#[test]
fn a_key_is_not_printed() {
    let register = register(&[("north", &["secret-of-north"])]);
    let key = ApiKey::new(b"secret-of-north");
    for text in [format!("{key:?}"), format!("{register:?}")] {
        assert!(!text.contains("secret-of-north"), "{text}");
        let bytes = format!("{:?}", b"secret-of-north");
        assert!(!text.contains(bytes.trim_matches(['[', ']'])), "{text}");
    }
}

proptest! {
    #[test]
    fn only_listed_keys_are_known(
        listed in proptest::collection::btree_set(".{0,24}", 1..40),
        asked in ".{0,24}",
    ) {
        let keys: Vec<&str> = listed.iter().map(String::as_str).collect();
        let register = register(&[("north", &keys)]);
        prop_assert_eq!(holder(&register, &asked).is_some(), listed.contains(&asked));
        for key in &keys {
            prop_assert!(holder(&register, key).is_some());
        }
    }
}
