//! The parts of a gateway process.
//!
//! A gateway serves callers that use the protocol of the users' platform. Its VM has no disk, so
//! all durable state is in the platform's store, and any gateway can serve any request:
//!
//! - [`store`] calls the store directly, or through a peer while the store refuses this VM;
//!   [`store_path`] chooses the path.
//! - [`writer`] commits rows in groups; [`watch`] follows the changes of a table.
//! - [`budget`] admits turns with the [`ledger`] of the gateway that owns their program;
//!   [`account`] is the token account of one program. [`history`] stores the turns of
//!   conversations.
//! - [`stream_origins`] knows which software version began a stream.
//! - [`peers`] defines the calls between gateways; [`relayed_team`] is what they say of the team of a
//!   relayed request.
//! - [`servers`] is the registry of backend servers, each a [`server`] with its load; [`placement`]
//!   chooses one. [`outcomes`] excludes servers that fail or hang while their health is good.
//! - [`server_path`] finds out whether this gateway reaches servers, and which peers do.
//! - [`rate_limits`] keeps the rates that servers limit, with the gateway that owns the
//!   [`allowance`] of a server.
//! - [`crash_reports`] remembers the requests, by their [`fingerprint`], that were running when
//!   servers crashed, and refuses those that crash each server.
//! - [`directory`] tracks the other gateways and answers the lookups of callers; by the [`gossip`],
//!   the gateways of a failure domain tell each other that they are live.
//! - [`running`] starts and stops the process with the [`settings`]; [`start`] has what a gateway
//!   learns from its peers before it is ready.

pub mod account;
pub mod allowance;
pub mod budget;
pub mod crash_reports;
pub mod directory;
pub mod fingerprint;
pub mod gossip;
pub mod history;
pub mod ledger;
pub mod outcomes;
pub mod peers;
pub mod placement;
pub mod rate_limits;
pub mod relayed_team;
pub mod running;
pub mod server;
pub mod server_path;
pub mod servers;
pub mod settings;
pub mod start;
pub mod store;
pub mod store_path;
pub mod stream_origins;
pub mod watch;
pub mod writer;
