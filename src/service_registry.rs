//! The micro-kernel: a registry in which services find each other by name.

use std::any::Any;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// A part of the process that other parts look up by name.
pub(crate) trait Service: 'static {
    /// The name under which the service is registered.
    const NAME: &'static str;
}

/// The registry of one process.
///
/// Look-ups happen while services start, never on the request path.
#[derive(Default)]
pub(crate) struct ServiceRegistry {
    services: RefCell<HashMap<&'static str, Rc<dyn Any>>>,
}

impl ServiceRegistry {
    /// Registers `service` under its name and returns it.
    pub(crate) fn register<S: Service>(&self, service: Rc<S>) -> Rc<S> {
        self.services
            .borrow_mut()
            .insert(S::NAME, service.clone() as Rc<dyn Any>);
        service
    }

    /// Finds a service by its name.
    ///
    /// # Panics
    ///
    /// Panics when the service was not registered: the start order is wrong.
    pub(crate) fn find<S: Service>(&self) -> Rc<S> {
        self.services
            .borrow()
            .get(S::NAME)
            .cloned()
            .and_then(|service| service.downcast().ok())
            .unwrap_or_else(|| panic!("service {} is not registered", S::NAME))
    }
}
