import { CallsControlMethod } from "../../calls/calls_control_method.ts";
import { decodeKeySettlement } from "../../calls/decode_key_settlement.ts";
import type { LedgerEvent } from "../../calls/ledger_event.ts";
import { LedgerEventKind } from "../../calls/ledger_event_kind.ts";
import type { LedgerServer } from "../../calls/ledger_server.ts";
import type { CallsRuntimeOptions } from "../../calls/calls_runtime_options.ts";
import type { RefusedContacts } from "./refused_contacts.ts";

/** Timeout of the query to another ledger. */
const queryTimeoutMilliseconds = 1000;

/** Queries another ledger about a key, which fences the key there, and returns the resulting ledger event. */
export async function queryLedger(
  options: CallsRuntimeOptions,
  query: {
    readonly server: LedgerServer;
    readonly by: LedgerServer;
    readonly service: string;
    readonly key: string;
    readonly attemptIdentifier: string;
    readonly refusedContacts: RefusedContacts;
  },
): Promise<LedgerEvent> {
  const { server, by, service, key, attemptIdentifier, refusedContacts } =
    query;
  const { clock } = options.environment;
  const begunAt = clock.now();
  const response = await options.controlClient.call({
    address: server.nodeAddress,
    method: CallsControlMethod.SettleKey,
    parameters: { service, key, backendServer: server.name, by },
    deadline: begunAt + queryTimeoutMilliseconds,
    freshConnection: true,
  });
  const from = server.name;
  const settlement = response.isOk
    ? decodeKeySettlement(response.value)
    : undefined;
  if (response.isErr && response.error.refused === true) {
    refusedContacts.record(server, { begunAt, refusedAt: clock.now() });
  } else {
    refusedContacts.remove(server);
  }
  return settlement === undefined
    ? {
      kind: LedgerEventKind.SettlementMissing,
      from,
      attemptIdentifier,
      goneAt: options.getGoneVms().get(server.vm),
      refused: refusedContacts.get(server),
    }
    : {
      kind: LedgerEventKind.SettlementReceived,
      from,
      attemptIdentifier,
      settlement,
    };
}
