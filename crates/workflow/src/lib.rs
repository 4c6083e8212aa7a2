//! Workflows: chains of functions that carry one deadline.
//!
//! A [`Plan`] says which step leads where; [`Plan::check`] validates it before any chain is run by it. A
//! [`Run`] is one chain: it is given how its steps ended and says what comes next. [`Times`] learns how long
//! functions take, so that what cannot finish is rejected at once. [`Pace`] limits how many chains begin
//! under load. There is no I/O and no clock: time is handed in. `docs/workflow.md` weighs the alternatives.
#![deny(missing_docs)]
#![warn(unreachable_pub, clippy::wildcard_imports, clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod check;
pub mod estimates;
pub mod plan;
pub mod run;
pub mod run_limiter;

pub use estimates::TimeEstimates;
pub use plan::{Branch, Function, Plan, PlanFault, Step, StepId, StepPart, Target, Test};
pub use run::{Command, FailureReason, Run, RunOutcome, StepStatus};
pub use run_limiter::RunLimiter;
