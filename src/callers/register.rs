//! An index of the organisations of one configuration by API key.

use crate::callers::{ApiKey, Organisation};
use crate::inventory::Name;
use std::collections::HashMap;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The organisations that are configured with the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SharedKey {
    /// The names of the organisations.
    pub(crate) organisations: Vec<Name>,
}

/// A key and the organisations that are configured with it.
#[derive(Debug)]
struct KeyEntry {
    key: ApiKey,
    /// More than one only if the configuration is wrong; the key then identifies none of them.
    organisations: Vec<Rc<Organisation>>,
}

/// An index of the organisations of one configuration by API key.
#[derive(Debug)]
pub(crate) struct ApiKeyIndex {
    /// The hash seed, random so that callers cannot craft keys with colliding hashes.
    seed: u64,
    entries: HashMap<u64, Vec<KeyEntry>>,
}

impl ApiKeyIndex {
    /// Creates an index of organisations and their keys.
    pub(crate) fn new(organisations: Vec<(Organisation, Vec<ApiKey>)>) -> Self {
        let mut index = Self {
            seed: rand::random(),
            entries: HashMap::new(),
        };
        for (organisation, keys) in organisations {
            let organisation = Rc::new(organisation);
            for key in keys {
                index.add(key, &organisation);
            }
        }
        index
    }

    fn add(&mut self, key: ApiKey, organisation: &Rc<Organisation>) {
        let hash = self.hash(&key);
        let entries = self.entries.entry(hash).or_default();
        match entries.iter_mut().find(|entry| entry.key.equals(&key)) {
            Some(entry) => entry.organisations.push(organisation.clone()),
            None => entries.push(KeyEntry {
                key,
                organisations: vec![organisation.clone()],
            }),
        }
    }

    fn hash(&self, key: &ApiKey) -> u64 {
        xxh3_64_with_seed(key.bytes(), self.seed)
    }

    /// Returns the organisation that holds a key; `None` if no organisation or more than one does.
    pub(crate) fn holder(&self, key: &ApiKey) -> Option<&Rc<Organisation>> {
        let entries = self.entries.get(&self.hash(key))?;
        let entry = entries.iter().find(|entry| entry.key.equals(key))?;
        match entry.organisations.as_slice() {
            [organisation] => Some(organisation),
            _ => None,
        }
    }

    /// Returns an entry for each key that is listed more than once, sorted by organisation names.
    pub(crate) fn shared_keys(&self) -> Vec<SharedKey> {
        let entries = self.entries.values().flatten();
        let shared = entries.filter(|entry| entry.organisations.len() > 1);
        let mut shared: Vec<SharedKey> = shared
            .map(|entry| {
                let organisations = entry.organisations.iter();
                SharedKey {
                    organisations: organisations.map(|it| it.name.clone()).collect(),
                }
            })
            .collect();
        shared.sort_by(|one, other| one.organisations.cmp(&other.organisations));
        shared
    }
}
