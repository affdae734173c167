//! Clients: their connections, what they ask, and the replies.

use super::{Alarm, Client, Engine, Part, Query, CLIENT_IDLE, CLOSED_AT_ONCE, MARGIN, MS};
use crate::api::{AttemptOutcome, Event, Nanos, PartReceived, QueryReceived, RequestId};
use crate::engine::messages::{ClientId, ConnectionId, Effect};
use crate::engine::usage::Outcome;
use crate::protocol::http::RequestError;
use crate::protocol::query::{ClientRequest, Query as AskedQuery, Reply};
use std::rc::Rc;

impl Engine {
    pub(super) fn client_opened(&mut self, now: Nanos, client: ClientId) {
        self.counters.connections.clients += 1;
        self.clients.insert(
            client,
            Client {
                since: now,
                ..Client::default()
            },
        );
        if self.closing {
            // Accepted as the listener went: without a request on it, it would hold up the end.
            self.effects.push(Effect::CloseClient { client });
        } else if self.clients.len() > self.most_clients / 2 {
            self.make_room(now, client);
        }
    }

    /// Closes the clients that need their connection least: those that never sent a query that
    /// could be used, then those that have been idle for longest. Each is asked once: many may come
    /// before the first one asked has gone.
    pub(super) fn make_room(&mut self, now: Nanos, newest: ClientId) {
        let full = self.clients.len() > self.most_clients;
        let spare = |c: &Client| c.known && now.saturating_sub(c.since) >= CLIENT_IDLE;
        let idle = |id: &ClientId, c: &Client| c.query.is_none() && !c.closing && *id != newest;
        let idle = self
            .clients
            .iter()
            .filter(|(id, c)| idle(id, c) && (full || spare(c)));
        let mut idle: Vec<_> = idle.map(|(id, c)| (c.known, c.since, *id)).collect();
        idle.sort_unstable();
        for (_, _, client) in idle.into_iter().take(CLOSED_AT_ONCE) {
            if let Some(state) = self.clients.get_mut(&client) {
                state.closing = true;
                self.effects.push(Effect::CloseClient { client });
            }
        }
    }

    pub(super) fn asked(
        &mut self,
        now: Nanos,
        client: ClientId,
        arrived: Nanos,
        asked: Result<ClientRequest, RequestError>,
    ) {
        match asked {
            Ok(ClientRequest::Query(query)) => self.take_query(now, client, arrived, query),
            Ok(ClientRequest::Ready) => {
                let ready = self.listed && self.terminated.is_none();
                self.reply(now, client, Reply::Ready(ready));
            }
            Ok(ClientRequest::Stats) => {
                let text = serde_json::to_vec_pretty(&self.counters).unwrap_or_default();
                self.reply(now, client, Reply::Stats(text));
            }
            Err(rejection) => {
                self.counters.received.invalid += 1;
                // Some clients send nothing else, as fast as they can: the log would be theirs.
                tracing::debug!(
                    client,
                    status = rejection.status,
                    why = rejection.why,
                    "request rejected"
                );
                self.reply(now, client, Reply::InvalidRequest(rejection));
            }
        }
    }

    pub(super) fn take_query(
        &mut self,
        now: Nanos,
        client: ClientId,
        arrived: Nanos,
        asked: AskedQuery,
    ) {
        if !self.clients.contains_key(&client) {
            return;
        }
        // Its parts would have the names that the open one's have at the leaf servers.
        if self.names.contains(&*asked.name) {
            let rejection = RequestError {
                status: 409,
                why: "X-Request-ID is that of an open query",
            };
            return self.asked(now, client, arrived, Err(rejection));
        }
        // A part that is in is not open any more: counting it would refuse queries that there is
        // room for.
        let open_parts = self
            .parts
            .values()
            .filter(|part| part.value.is_none())
            .count();
        if self.queries.len() + open_parts >= self.site.max_open {
            self.counters.received.over_capacity += 1;
            tracing::info!(
                queries = self.queries.len(),
                open_parts,
                "over the cap: query refused"
            );
            self.turned_away(arrived, &asked);
            let retry_after = self.site.retry_after;
            self.reply(now, client, Reply::Rejected { retry_after });
            return;
        }
        let spent = now.saturating_sub(arrived) + MARGIN;
        let mut client_timeout = asked.timeout.saturating_sub(spent);
        if let Some(at) = self.terminated {
            // What comes during the grace must be over before a kill can follow.
            let end = at
                + self
                    .site
                    .deadlines
                    .iter()
                    .max()
                    .copied()
                    .unwrap_or_default();
            client_timeout = client_timeout.min(end.saturating_sub(now));
        }
        if client_timeout == 0 {
            self.counters.received.too_late += 1;
            tracing::info!(
                timeout_ms = asked.timeout / MS,
                "no time left: query refused"
            );
            self.turned_away(arrived, &asked);
            return self.reply(
                now,
                client,
                Reply::Rejected {
                    retry_after: self.site.retry_after,
                },
            );
        }
        let id = self.id();
        self.last_group = self.last_group.wrapping_add(1);
        let group = self.last_group;
        if let Some(client) = self.clients.get_mut(&client) {
            (client.query, client.known) = (Some(id), true);
        }
        let work = asked.parts.iter().map(|p| p.work).sum();
        let (class, tenant) = (asked.class, asked.tenant);
        self.events.push(Event::QueryReceived(QueryReceived {
            id,
            group,
            class,
            tenant,
            client_timeout,
            work,
            is_retry: asked.is_retry,
        }));
        let mut parts = Vec::with_capacity(asked.parts.len());
        for part in &asked.parts {
            let (part_id, shard, weight) = (self.id(), part.shard, part.weight);
            let wire: Rc<str> = format!("{}.{shard}", asked.name).into();
            let text = asked.text.clone();
            let new = Part {
                query: id,
                shard,
                weight,
                wire,
                text,
                attempts: 0,
                crossed: 0,
                value: None,
            };
            self.parts.insert(part_id, new);
            self.events.push(Event::PartReceived(PartReceived {
                id: part_id,
                group,
                shard,
                weight,
            }));
            parts.push(part_id);
        }
        self.counters.received.queries += 1;
        self.counters.received.parts += parts.len() as u64;
        self.counters.received.retries += u64::from(asked.is_retry);
        let deadline = now + client_timeout;
        self.alarms.insert((deadline, Alarm::LastMoment(id)));
        let name: Rc<str> = asked.name.as_str().into();
        self.names.insert(name.clone());
        let (key, is_retry) = (self.join_key(&asked), asked.is_retry);
        let arrived = self.note_open(id, arrived);
        let class_at = usize::from(class);
        let query = Query {
            name,
            client,
            class: class_at,
            deadline,
            parts,
            tenant,
            arrived,
            is_retry,
            key,
        };
        self.queries.insert(id, query);
        let patience_ms = client_timeout / MS;
        tracing::debug!(
            id,
            name = asked.name,
            class,
            patience_ms,
            open_parts,
            "query taken"
        );
    }

    pub(super) fn client_closed(&mut self, now: Nanos, client: ClientId) {
        let Some(client) = self.clients.remove(&client) else {
            return;
        };
        if let Some(id) = client.query {
            self.counters.queries_ended.client_disconnected += 1;
            self.events.push(Event::ClientDisconnected { id });
            if let Some((query, parts)) = self.end_query(now, id) {
                self.record(&query, &parts, Outcome::Left);
            }
        }
    }

    pub(super) fn reply(&mut self, now: Nanos, client: ClientId, reply: Reply) {
        let Some(state) = self.clients.get_mut(&client) else {
            return;
        };
        (state.query, state.since) = (None, now);
        let close = self.closing || state.closing;
        self.effects.push(Effect::SendReply {
            client,
            reply,
            close,
        });
    }

    /// Forgets a query and its parts. Attempts still out end on their own; what still waits for a
    /// connection never goes out, whether or not what is out may be cancelled.
    pub(super) fn end_query(&mut self, now: Nanos, id: RequestId) -> Option<(Query, Vec<Part>)> {
        let query = self.queries.remove(&id)?;
        for part in &query.parts {
            let own: Vec<_> = self.attempts.range((*part, 0)..=(*part, u8::MAX)).collect();
            let unsent = |connection: &ConnectionId, id| {
                self.connections
                    .get(connection)
                    .is_some_and(|(_, it)| it.is_unsent(id))
            };
            let waiting = own
                .into_iter()
                .filter(|(id, attempt)| unsent(&attempt.connection, **id));
            for attempt in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.end_attempt(now, attempt, AttemptOutcome::Cancelled);
            }
        }
        self.alarms.remove(&(query.deadline, Alarm::LastMoment(id)));
        self.names.remove(&query.name);
        self.note_over(id, query.arrived);
        let parts = query
            .parts
            .iter()
            .filter_map(|part| self.parts.remove(part))
            .collect();
        Some((query, parts))
    }
}
