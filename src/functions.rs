//! What a router knows of each function, up to a bound. State only, no decision.
use crate::interface::*;
use crate::servers::Holdings;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// What a router knows of one function.
#[derive(Default)]
pub(crate) struct Function {
    /// Jobs of it at a time that a worker is taken to run.
    pub lanes: u32,
    /// How long a worker takes to load it, as told or as seen first.
    pub load_time: Option<Micros>,
    /// When it was called last, and a faded count of its calls until then.
    pub last: Micros,
    pub rate: f64,
    /// Jobs of it that are not over; while there is one it is not forgotten.
    pub requests: u32,
    /// Workers that may hold it, so that nobody has to ask all of them.
    pub at: BTreeSet<WorkerId>,
}

/// Functions that are known.
#[derive(Default)]
pub(crate) struct Functions {
    known: BTreeMap<FunctionId, Function>,
}

impl Index<&FunctionId> for Functions {
    type Output = Function;

    fn index(&self, id: &FunctionId) -> &Function {
        &self.known[id]
    }
}

impl Functions {
    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn get(&self, id: FunctionId) -> Option<&Function> {
        self.known.get(&id)
    }

    pub fn get_mut(&mut self, id: FunctionId) -> Option<&mut Function> {
        self.known.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&FunctionId, &Function)> {
        self.known.iter()
    }

    /// A function that is called: as it is known, or new.
    pub fn called(&mut self, id: FunctionId) -> &mut Function {
        let function = self.known.entry(id).or_default();
        function.requests += 1;
        function
    }

    /// One of its requests is over.
    pub fn over(&mut self, id: FunctionId) {
        self.get_mut(id).into_iter().for_each(|function| function.requests -= 1);
    }

    /// Forgets those that nobody has called for so long, that no worker may hold and that have no request.
    pub fn forget_unused(&mut self, now: Micros, after: Micros) {
        self.known.retain(|_, f| now < f.last + after || !f.at.is_empty() || f.requests > 0);
    }

    /// Takes out so many of those without a request, those called longest ago; ties go by name.
    pub fn evict(&mut self, number: usize) -> Vec<(FunctionId, Function)> {
        let unused = self.known.iter().filter(|(_, function)| function.requests == 0);
        let mut oldest: Vec<(Micros, FunctionId)> =
            unused.map(|(id, function)| (function.last, *id)).collect();
        oldest.sort_unstable();
        oldest.truncate(number);
        oldest.into_iter().filter_map(|(_, id)| Some((id, self.known.remove(&id)?))).collect()
    }

    /// A worker holds these no longer.
    pub fn lost(&mut self, server: WorkerId, lost: &Holdings) {
        for function in lost.keys() {
            self.get_mut(*function).into_iter().for_each(|f| _ = f.at.remove(&server));
        }
    }
}
