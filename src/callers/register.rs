//! All organisations of one configuration, by their keys.

use crate::callers::{ApiKey, Organisation};
use crate::inventory::Name;
use std::collections::HashMap;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Organisations that list the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SharedKey {
    /// The organisations, by name.
    pub(crate) organisations: Vec<Name>,
}

#[derive(Debug)]
struct Holder {
    key: ApiKey,
    /// Several where the configuration is wrong; the key is nobody's then.
    organisations: Vec<Rc<Organisation>>,
}

/// All organisations of one configuration, by their keys.
#[derive(Debug)]
pub(crate) struct ApiKeyIndex {
    /// Drawn at random, so that callers cannot choose keys that share a hash.
    seed: u64,
    holders: HashMap<u64, Vec<Holder>>,
}

impl ApiKeyIndex {
    /// A register of organisations with their keys.
    pub(crate) fn new(organisations: Vec<(Organisation, Vec<ApiKey>)>) -> Self {
        let mut register = Self {
            seed: rand::random(),
            holders: HashMap::new(),
        };
        for (organisation, keys) in organisations {
            let organisation = Rc::new(organisation);
            for key in keys {
                register.add(key, &organisation);
            }
        }
        register
    }

    fn add(&mut self, key: ApiKey, organisation: &Rc<Organisation>) {
        let hash = self.hash(&key);
        let holders = self.holders.entry(hash).or_default();
        match holders.iter_mut().find(|holder| holder.key.is(&key)) {
            Some(holder) => holder.organisations.push(organisation.clone()),
            None => holders.push(Holder {
                key,
                organisations: vec![organisation.clone()],
            }),
        }
    }

    fn hash(&self, key: &ApiKey) -> u64 {
        xxh3_64_with_seed(key.bytes(), self.seed)
    }

    /// The organisation that holds a key; `None` if none does, or several do.
    pub(crate) fn holder(&self, key: &ApiKey) -> Option<&Rc<Organisation>> {
        let holders = self.holders.get(&self.hash(key))?;
        let holder = holders.iter().find(|holder| holder.key.is(key))?;
        match holder.organisations.as_slice() {
            [organisation] => Some(organisation),
            _ => None,
        }
    }

    /// The keys that are listed more than once, by who lists them.
    pub(crate) fn shared_keys(&self) -> Vec<SharedKey> {
        let holders = self.holders.values().flatten();
        let shared = holders.filter(|holder| holder.organisations.len() > 1);
        let mut shared: Vec<SharedKey> = shared
            .map(|holder| {
                let organisations = holder.organisations.iter();
                SharedKey {
                    organisations: organisations.map(|it| it.name.clone()).collect(),
                }
            })
            .collect();
        shared.sort_by(|one, other| one.organisations.cmp(&other.organisations));
        shared
    }
}
