//! A model checker that explores the life cycle of transactions exhaustively in small cases. It runs
//! [`gradepaddle_dispatch::Dispatch`] itself, either under an adversarial chooser, which may request any action at
//! any time, or under the production balancer. Clients, app servers, service tables and connections are modelled,
//! and every order of their events is tried.
//!
//! Two further checks cover the service table's clock ([`listing`], exhaustively) and the keepers of the
//! book ([`keepers`], under random fault schedules).

pub mod broken;
pub mod chooser;
pub mod explore;
pub mod keepers;
pub mod listing;
pub mod property;
pub mod report;
pub mod sizes;
pub mod world;
