//! Whole controllers in a scripted world.

mod cancellations;
mod meetings;
mod schedules;
mod world;
