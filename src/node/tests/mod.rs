//! Whole controllers in a scripted world.

mod meetings;
mod schedules;
mod world;
