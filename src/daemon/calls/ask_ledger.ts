import { CallsControlMethod } from "../../calls/calls_control_method.ts";
import { decodeKeySettlement } from "../../calls/decode_key_settlement.ts";
import type { LedgerEvent } from "../../calls/ledger_event.ts";
import { LedgerEventKind } from "../../calls/ledger_event_kind.ts";
import type { LedgerServer } from "../../calls/ledger_server.ts";
import type { CallsRuntimeOptions } from "../../calls/calls_runtime_options.ts";
import type { RefusedContacts } from "./refused_contacts.ts";

/** How long another ledger may take to answer. */
const questionMilliseconds = 1000;

/** Asks another ledger about a key, which fences it there, and returns what comes of it. */
export async function askLedger(
  options: CallsRuntimeOptions,
  question: {
    readonly server: LedgerServer;
    readonly by: LedgerServer;
    readonly service: string;
    readonly key: string;
    readonly attemptIdentifier: string;
    readonly refusedContacts: RefusedContacts;
  },
): Promise<LedgerEvent> {
  const { server, by, service, key, attemptIdentifier, refusedContacts } =
    question;
  const { clock } = options.environment;
  const begunAt = clock.now();
  const answer = await options.controlClient.call({
    address: server.nodeAddress,
    method: CallsControlMethod.SettleKey,
    parameters: { service, key, backendServer: server.name, by },
    deadline: begunAt + questionMilliseconds,
    freshConnection: true,
  });
  const from = server.name;
  const settlement = answer.isOk
    ? decodeKeySettlement(answer.value)
    : undefined;
  if (answer.isErr && answer.error.refused === true) {
    refusedContacts.note(server, { begunAt, refusedAt: clock.now() });
  } else {
    refusedContacts.forget(server);
  }
  return settlement === undefined
    ? {
      kind: LedgerEventKind.Unanswered,
      from,
      attemptIdentifier,
      goneAt: options.getGoneVms().get(server.vm),
      refused: refusedContacts.get(server),
    }
    : { kind: LedgerEventKind.Answered, from, attemptIdentifier, settlement };
}
