//! Interning of names as small numbers.

use std::collections::HashMap;
use std::sync::Arc;

/// Numbers names in the order in which they are first interned.
#[derive(Debug, Default)]
pub(crate) struct Interner {
    numbers: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl Interner {
    /// Returns the number of a name, and assigns one to a new name.
    pub(crate) fn intern(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        let name = Arc::<str>::from(name);
        self.numbers.insert(name.clone(), number);
        self.names.push(name);
        number
    }

    /// The number of a name that was interned before.
    pub(crate) fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// The name with this number, which [`Interner::intern`] has given.
    pub(crate) fn name(&self, number: u32) -> Arc<str> {
        self.names[number as usize].clone()
    }
}
