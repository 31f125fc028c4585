//! Interner and their numbers.

use std::collections::HashMap;
use std::sync::Arc;

/// Interner given numbers in the order of their coming.
#[derive(Debug, Default)]
pub(crate) struct Interner {
    numbers: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl Interner {
    pub(crate) fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let (number, name) = (self.numbers.len() as u32, Arc::<str>::from(name));
        self.numbers.insert(name.clone(), number);
        self.names.push(name);
        number
    }

    pub(crate) fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    pub(crate) fn name(&self, number: u32) -> Arc<str> {
        self.names[number as usize].clone()
    }
}
