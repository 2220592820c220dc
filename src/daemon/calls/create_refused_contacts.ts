import { CallsControlMethod } from "../../calls/calls_control_method.ts";
import type { CallsRuntimeOptions } from "../../calls/calls_runtime_options.ts";
import { extendRefusedContact } from "../../calls/extend_refused_contact.ts";
import { ledgerQuietMilliseconds } from "../../calls/ledger_quiet_milliseconds.ts";
import type { LedgerServer } from "../../calls/ledger_server.ts";
import type { RefusedContact } from "../../calls/refused_contact.ts";
import type { TimerHandle } from "../../runtime/timer_handle.ts";
import type { RefusedContacts } from "./refused_contacts.ts";

/** Interval at which a node that refused a connection is contacted again; short enough that the period of refused connections is not interrupted. */
const contactIntervalMilliseconds = ledgerQuietMilliseconds / 2;
const responseTimeoutMilliseconds = 500;

interface TrackedNode {
  contact: RefusedContact;
  timer: TimerHandle | undefined;
}

/**
 * Creates the tracker of nodes on which no process listens. It contacts them again
 * at regular intervals. In a service with few calls, the refused connections would
 * otherwise be further apart than the quiet period of ledgers: each call would
 * start a new period of refused connections, and keys would stay unsettled.
 */
export function createRefusedContacts(
  options: CallsRuntimeOptions,
  shouldTrack: (server: LedgerServer) => boolean,
): RefusedContacts {
  const { clock, timers } = options.environment;
  const trackedNodes = new Map<string, TrackedNode>();

  const remove = (server: LedgerServer) => {
    trackedNodes.get(server.name)?.timer?.cancel();
    trackedNodes.delete(server.name);
  };
  const record = (
    server: LedgerServer,
    refusedConnection: { readonly begunAt: number; readonly refusedAt: number },
  ) => {
    const trackedNode = trackedNodes.get(server.name);
    const contact = extendRefusedContact(
      trackedNode?.contact,
      refusedConnection,
    );
    if (trackedNode === undefined) {
      const created: TrackedNode = { contact, timer: undefined };
      trackedNodes.set(server.name, created);
      schedule(server, created);
    } else {
      trackedNode.contact = contact;
    }
  };
  const schedule = (server: LedgerServer, trackedNode: TrackedNode) => {
    trackedNode.timer = timers.at(
      clock.now() + contactIntervalMilliseconds,
      () => void contactAgain(server, trackedNode),
    );
  };
  const contactAgain = async (
    server: LedgerServer,
    trackedNode: TrackedNode,
  ) => {
    const begunAt = clock.now();
    const response = shouldTrack(server)
      ? await options.controlClient.call({
        address: server.nodeAddress,
        method: CallsControlMethod.SettleCall,
        // No attempt has this identifier, and the fence that the query creates for
        // it expires immediately.
        parameters: { attemptIdentifier: "contact", deadline: begunAt },
        deadline: begunAt + responseTimeoutMilliseconds,
        freshConnection: true,
      })
      : undefined;
    if (trackedNodes.get(server.name) !== trackedNode) {
      return;
    }
    if (response?.isErr !== true || response.error.refused !== true) {
      remove(server);
      return;
    }
    record(server, { begunAt, refusedAt: clock.now() });
    schedule(server, trackedNode);
  };
  return {
    get: (server) => trackedNodes.get(server.name)?.contact,
    record,
    remove,
    stop: () => {
      trackedNodes.forEach(({ timer }) => timer?.cancel());
      trackedNodes.clear();
    },
  };
}
