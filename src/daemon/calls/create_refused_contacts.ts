import { CallsControlMethod } from "../../calls/calls_control_method.ts";
import type { CallsRuntimeOptions } from "../../calls/calls_runtime_options.ts";
import { extendRefusedContact } from "../../calls/extend_refused_contact.ts";
import { ledgerQuietMilliseconds } from "../../calls/ledger_quiet_milliseconds.ts";
import type { LedgerServer } from "../../calls/ledger_server.ts";
import type { RefusedContact } from "../../calls/refused_contact.ts";
import type { TimerHandle } from "../../runtime/timer_handle.ts";
import type { RefusedContacts } from "./refused_contacts.ts";

/** How often a node that refused a connection is tried again, so that the chain of refusals holds. */
const checkMilliseconds = ledgerQuietMilliseconds / 2;
const answerMilliseconds = 500;

interface Watch {
  contact: RefusedContact;
  timer: TimerHandle | undefined;
}

/**
 * Creates the watch over nodes on which no process listens. Without it, keys
 * of a service with few calls would stay unsettled: each call would be the
 * first one to find the process gone.
 */
export function createRefusedContacts(
  options: CallsRuntimeOptions,
  isWatched: (server: LedgerServer) => boolean,
): RefusedContacts {
  const { clock, timers } = options.environment;
  const watches = new Map<string, Watch>();

  const forget = (server: LedgerServer) => {
    watches.get(server.name)?.timer?.cancel();
    watches.delete(server.name);
  };
  const note = (
    server: LedgerServer,
    refusal: { readonly begunAt: number; readonly refusedAt: number },
  ) => {
    const watch = watches.get(server.name);
    const contact = extendRefusedContact(watch?.contact, refusal);
    if (watch === undefined) {
      const created: Watch = { contact, timer: undefined };
      watches.set(server.name, created);
      schedule(server, created);
    } else {
      watch.contact = contact;
    }
  };
  const schedule = (server: LedgerServer, watch: Watch) => {
    watch.timer = timers.at(
      clock.now() + checkMilliseconds,
      () => void check(server, watch),
    );
  };
  const check = async (server: LedgerServer, watch: Watch) => {
    const begunAt = clock.now();
    const answer = isWatched(server)
      ? await options.controlClient.call({
        address: server.nodeAddress,
        method: CallsControlMethod.SettleCall,
        // No call has this name, and its fence ends at once.
        parameters: { attemptIdentifier: "contact", deadline: begunAt },
        deadline: begunAt + answerMilliseconds,
        freshConnection: true,
      })
      : undefined;
    if (watches.get(server.name) !== watch) {
      return;
    }
    if (answer?.isErr !== true || answer.error.refused !== true) {
      forget(server);
      return;
    }
    note(server, { begunAt, refusedAt: clock.now() });
    schedule(server, watch);
  };
  return {
    get: (server) => watches.get(server.name)?.contact,
    note,
    forget,
    stop: () => {
      watches.forEach(({ timer }) => timer?.cancel());
      watches.clear();
    },
  };
}
