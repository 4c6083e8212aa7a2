//! Workflows: sequences of function calls under one deadline.
//!
//! A [`Plan`] defines the steps of a workflow and the transitions between them; [`Plan::check`] validates
//! it before it is run. A [`Run`] is the state machine of one execution of a workflow: it is told how steps
//! ended and returns the next commands. [`TimeEstimates`] learns how long functions take, so that a
//! workflow that cannot finish in time is rejected at once. [`RunLimiter`] limits the rate of new runs
//! under overload.
//!
//! There is no I/O and no clock: the current time is passed in. `docs/workflow.md` compares the
//! alternatives.
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
