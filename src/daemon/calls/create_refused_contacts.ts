import { CallsControlMethod } from "../../calls/calls_control_method.ts";
import type { CallsRuntimeOptions } from "../../calls/calls_runtime_options.ts";
import { extendRefusedContact } from "../../calls/extend_refused_contact.ts";
import { ledgerQuietMilliseconds } from "../../calls/ledger_quiet_milliseconds.ts";
import type { LedgerServer } from "../../calls/ledger_server.ts";
import type { RefusedContact } from "../../calls/refused_contact.ts";
import type { TimerHandle } from "../../runtime/timer_handle.ts";
import type { RefusedContacts } from "./refused_contacts.ts";

/** Interval at which a node that refused a connection is contacted again; short enough that the series of refusals stays unbroken. */
const checkIntervalMilliseconds = ledgerQuietMilliseconds / 2;
const responseTimeoutMilliseconds = 500;

interface WatchedNode {
  contact: RefusedContact;
  timer: TimerHandle | undefined;
}

/**
 * Creates the tracker of nodes on which no process listens. It contacts them again
 * at regular intervals: in a service with few calls, each call would otherwise be
 * the first to find the process gone, and keys would stay unsettled.
 */
export function createRefusedContacts(
  options: CallsRuntimeOptions,
  shouldWatch: (server: LedgerServer) => boolean,
): RefusedContacts {
  const { clock, timers } = options.environment;
  const watchedNodes = new Map<string, WatchedNode>();

  const remove = (server: LedgerServer) => {
    watchedNodes.get(server.name)?.timer?.cancel();
    watchedNodes.delete(server.name);
  };
  const record = (
    server: LedgerServer,
    refusal: { readonly begunAt: number; readonly refusedAt: number },
  ) => {
    const watchedNode = watchedNodes.get(server.name);
    const contact = extendRefusedContact(watchedNode?.contact, refusal);
    if (watchedNode === undefined) {
      const created: WatchedNode = { contact, timer: undefined };
      watchedNodes.set(server.name, created);
      schedule(server, created);
    } else {
      watchedNode.contact = contact;
    }
  };
  const schedule = (server: LedgerServer, watchedNode: WatchedNode) => {
    watchedNode.timer = timers.at(
      clock.now() + checkIntervalMilliseconds,
      () => void check(server, watchedNode),
    );
  };
  const check = async (server: LedgerServer, watchedNode: WatchedNode) => {
    const begunAt = clock.now();
    const response = shouldWatch(server)
      ? await options.controlClient.call({
        address: server.nodeAddress,
        method: CallsControlMethod.SettleCall,
        // No attempt has this identifier, and its fence expires immediately.
        parameters: { attemptIdentifier: "contact", deadline: begunAt },
        deadline: begunAt + responseTimeoutMilliseconds,
        freshConnection: true,
      })
      : undefined;
    if (watchedNodes.get(server.name) !== watchedNode) {
      return;
    }
    if (response?.isErr !== true || response.error.refused !== true) {
      remove(server);
      return;
    }
    record(server, { begunAt, refusedAt: clock.now() });
    schedule(server, watchedNode);
  };
  return {
    get: (server) => watchedNodes.get(server.name)?.contact,
    record,
    remove,
    stop: () => {
      watchedNodes.forEach(({ timer }) => timer?.cancel());
      watchedNodes.clear();
    },
  };
}
