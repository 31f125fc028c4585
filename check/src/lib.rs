//! Explores the life of transactions exhaustively in small cases. What is explored is
//! [`gradepaddle_dispatch::Dispatch`] itself, once under a chooser that may ask for anything at any time
//! and once under the decisions in service; round it stands a world of clients, app servers, lists and
//! connections in which every order of events is tried.

pub mod broken;
pub mod explore;
pub mod keepers;
pub mod listing;
pub mod player;
pub mod property;
pub mod report;
pub mod sizes;
pub mod world;
