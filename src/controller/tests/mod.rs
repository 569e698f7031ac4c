//! Whole controllers in a scripted world.

mod cancellations;
mod failover;
mod large_fleets;
mod meetings;
mod schedules;
mod world;
