//! The one that divides: what each holder may have out, and who gets what.
use crate::*;
use applepond_membership::InstanceId;
use std::collections::BTreeMap;

/// A lease that its holder may still count on, as far as is known here.
#[derive(Clone, Debug)]
struct Given {
    number: u64,
    until: Micros,
    extra: Vec<Amount>,
}

/// The one record of a holder: a process, not a name, or a replaced one would share its leases.
#[derive(Clone, Debug)]
struct Holding {
    asked: u64,
    heard: Micros,
    need: Vec<Amount>,
    given: Vec<Given>,
}

impl Holding {
    /// The most that it may have in force of a budget.
    fn out(&self, budget: usize) -> Amount {
        self.given.iter().map(|g| g.extra[budget]).max().unwrap_or(0)
    }
}

/// Divides while its term holds. Who has the term is agreed on elsewhere (`accord`); here it is only told
/// when it was written and when it was last confirmed.
#[derive(Clone, Debug)]
pub struct Divider {
    rows: Vec<Row>,
    /// Routers that could ever be there: each has its floors without being asked.
    routers: u64,
    holders: BTreeMap<InstanceId, Holding>,
    /// Nothing is given before, and from then on.
    from: Micros,
    until: Micros,
    guards: Guards,
}

/// Max-min fair parts of a total: nobody gets more than it needs, and nobody less than another that gets
/// more than it.
pub fn fair(total: Amount, needs: &[Amount]) -> Vec<Amount> {
    let mut order: Vec<usize> = (0..needs.len()).collect();
    order.sort_by_key(|n| (needs[*n], *n));
    let (mut left, mut parts) = (total, vec![0; needs.len()]);
    for (done, n) in order.into_iter().enumerate() {
        parts[n] = needs[n].min(left / (needs.len() - done) as u64);
        left -= parts[n];
    }
    parts
}

impl Divider {
    /// A term that most keepers were known to have written at `written`: leases of the divider before may be
    /// in force until its authority and they have run out.
    pub fn new(written: Micros, rows: &[Row], routers: u64) -> Self {
        let from = written + at_most(AUTHORITY) + at_most(LEASE);
        Divider {
            rows: rows.to_vec(),
            routers,
            holders: BTreeMap::new(),
            from,
            until: 0,
            guards: Guards::ALL,
        }
    }

    /// The same with these guards alone, for tests and drills.
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        if !guards.one_divides {
            (self.from, self.until) = (0, Micros::MAX);
        }
        self
    }

    /// Most keepers have confirmed the term by answers to what was begun at `begun`.
    pub fn confirmed(&mut self, begun: Micros) {
        self.until = self.until.max(begun + AUTHORITY);
    }

    /// It may give now.
    pub fn divides(&self, now: Micros) -> bool {
        (self.from..self.until).contains(&now)
    }

    /// Answers a holder's ask with what it has of each budget above its floor. None: this one does not divide
    /// now, or the ask is an old one.
    pub fn asked(
        &mut self,
        now: Micros,
        holder: InstanceId,
        (number, turn): (u64, u64),
        need: &[Amount],
    ) -> Option<Vec<Amount>> {
        let known = self.holders.contains_key(&holder);
        if !self.divides(now) || need.len() != self.rows.len() || !known && self.holders.len() >= HOLDERS_MOST
        {
            return None;
        }
        for holding in self.holders.values_mut() {
            holding.given.retain(|given| now < given.until);
        }
        // Whose leases have run out and who has not asked since needs nothing.
        self.holders.retain(|of, h| *of == holder || !h.given.is_empty() || now < h.heard + LEASE);
        let none = Holding { asked: 0, heard: now, need: Vec::new(), given: Vec::new() };
        let asker = self.holders.entry(holder).or_insert(none);
        if number <= asker.asked || asker.given.len() >= GIVEN_MOST {
            return None;
        }
        (asker.asked, asker.heard, asker.need) = (number, now, need.to_vec());
        // It holds the answer to `turn` and will not go back to one before.
        asker.given.retain(|given| given.number >= turn);
        let extra: Vec<Amount> = (0..self.rows.len()).map(|budget| self.extra(holder, budget)).collect();
        let asker = self.holders.get_mut(&holder).expect("just seen");
        asker.given.push(Given { number, until: now + at_most(LEASE), extra: extra.clone() });
        Some(extra)
    }

    fn extra(&self, holder: InstanceId, budget: usize) -> Amount {
        let row = &self.rows[budget];
        let above = row.above(self.routers);
        let needs: Vec<Amount> =
            self.holders.values().map(|h| h.need[budget].saturating_sub(row.floor)).collect();
        let place = self.holders.keys().position(|of| *of == holder).expect("just taken in");
        let wanted = fair(above, &needs)[place];
        // Guards against a part that rises before another has shrunk: what others may have out is theirs.
        let others = self.holders.iter().filter(|(of, _)| **of != holder);
        let out: Amount = others.map(|(_, h)| h.out(budget)).sum();
        if self.guards.shrinks_first { wanted.min(above.saturating_sub(out)) } else { wanted }
    }

    /// New settings: a whole that shrinks is given out less from now on; one that rises rises at the next
    /// asks.
    pub fn switch(&mut self, rows: &[Row], routers: u64) {
        if rows.len() == self.rows.len() {
            (self.rows, self.routers) = (rows.to_vec(), routers);
            // Guards against a division that most keepers know nothing of: it gives once they vote anew.
            self.until = 0;
        }
    }

    /// Holders that asked within a lease, and what they may have out of a budget in all, above the floors.
    pub fn out(&self, now: Micros, budget: usize) -> (usize, Amount) {
        let lives = self.holders.values().filter(|h| now < h.heard + LEASE).count();
        let of = |h: &Holding| {
            h.given.iter().filter(|g| now < g.until).map(|g| g.extra[budget]).max().unwrap_or(0)
        };
        (lives, self.holders.values().map(of).sum())
    }
}
