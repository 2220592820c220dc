import { match } from "ts-pattern";
import type { CallsRuntimeOptions } from "../../calls/calls_runtime_options.ts";
import { CallsControlMethod } from "../../calls/calls_control_method.ts";
import { createKeptMap } from "../../calls/create_kept_map.ts";
import { decodeKeySettlement } from "../../calls/decode_key_settlement.ts";
import { extendRefusedContact } from "../../calls/extend_refused_contact.ts";
import { getAttemptIdentifier } from "../../calls/get_attempt_identifier.ts";
import { getPredecessors } from "../../calls/get_predecessors.ts";
import { getRequestFingerprint } from "../../calls/get_request_fingerprint.ts";
import type { KeptMap } from "../../calls/kept_map.ts";
import type { KeySettlement } from "../../calls/key_settlement.ts";
import type { LedgerContext } from "../../calls/ledger_context.ts";
import type { LedgerEffect } from "../../calls/ledger_effect.ts";
import { LedgerEffectKind } from "../../calls/ledger_effect_kind.ts";
import type { LedgerEntry } from "../../calls/ledger_entry.ts";
import { LedgerEntryKind } from "../../calls/ledger_entry_kind.ts";
import type { LedgerEvent } from "../../calls/ledger_event.ts";
import { LedgerEventKind } from "../../calls/ledger_event_kind.ts";
import type { LedgerServer } from "../../calls/ledger_server.ts";
import type { RefusedContact } from "../../calls/refused_contact.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { SettlementKind } from "../../calls/settlement_kind.ts";
import { stepLedger } from "../../calls/step_ledger.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { CallLedger } from "./call_ledger.ts";

type Callbacks = Parameters<CallLedger["request"]>[1];

const keptAnswerBytes = 16 * 1024 * 1024;
/** Beyond this, calls with new keys are refused: a forgotten key could run twice. */
const maximumKeys = 200_000;
/** How long another ledger may take to answer. */
const questionMilliseconds = 1000;

/** Creates the ledger of the backend server beside this node. */
export function createCallLedger(options: CallsRuntimeOptions): CallLedger {
  const { settings, environment, controlClient } = options;
  const { clock } = environment;
  const self = settings.backendServer?.name ?? "";
  const startedAt = clock.now();
  const refusedContacts = new Map<string, RefusedContact>();
  const waiting = new Map<string, Callbacks>();
  let entries = createLedgerEntries();
  let ownServer: BackendServer | undefined;
  let ownService: string | undefined;
  let servers: readonly LedgerServer[] = [];
  let removed: ReadonlyMap<string, RemovedServer> = new Map();
  let ledgerSince = startedAt;

  const createContext = (): LedgerContext => ({
    now: clock.now(),
    ledgerSince,
    keyLifetimeMilliseconds: settings.timing.keyLifetimeMilliseconds,
    clockSkewMilliseconds: settings.timing.clockSkewMilliseconds,
  });
  const apply = (key: string, event: LedgerEvent): readonly LedgerEffect[] => {
    const context = createContext();
    const step = stepLedger(entries.get(key, context.now), event, context);
    if (step.entry === undefined) {
      entries.delete(key);
    } else {
      entries.set(
        key,
        step.entry,
        context.now + context.keyLifetimeMilliseconds +
          context.clockSkewMilliseconds,
      );
    }
    step.effects.forEach((effect) => carryOut(key, event, effect));
    return step.effects;
  };
  const take = (attemptIdentifier: string): Callbacks | undefined => {
    const callbacks = waiting.get(attemptIdentifier);
    waiting.delete(attemptIdentifier);
    return callbacks;
  };
  const carryOut = (key: string, event: LedgerEvent, effect: LedgerEffect) => {
    match(effect)
      .with({ kind: LedgerEffectKind.Ask }, ({ server }) => {
        if ("attemptIdentifier" in event) {
          void ask(key, event.attemptIdentifier, { server });
        }
      })
      .with(
        { kind: LedgerEffectKind.Allow },
        ({ attemptIdentifier }) => take(attemptIdentifier)?.onAllowed(),
      )
      .with(
        { kind: LedgerEffectKind.AnswerWith },
        ({ attemptIdentifier, answer }) =>
          take(attemptIdentifier)?.onAnswered(answer),
      )
      .with(
        { kind: LedgerEffectKind.Refuse },
        ({ attemptIdentifier, reason, mayHaveRun }) =>
          take(attemptIdentifier)?.onRefused({ reason, mayHaveRun }),
      )
      .with({ kind: LedgerEffectKind.Reply }, () => undefined)
      .exhaustive();
  };
  const ask = async (
    key: string,
    attemptIdentifier: string,
    { server }: { readonly server: LedgerServer },
  ) => {
    const begunAt = clock.now();
    const answer = await controlClient.call({
      address: server.nodeAddress,
      method: CallsControlMethod.SettleKey,
      parameters: {
        service: ownServer?.service ?? "",
        key,
        backendServer: server.name,
        by: getLedgerServer(ownServer!),
      },
      deadline: clock.now() + questionMilliseconds,
      freshConnection: true,
    });
    const refused = answer.isErr && answer.error.refused === true
      ? extendRefusedContact(refusedContacts.get(server.name), {
        begunAt,
        refusedAt: clock.now(),
      })
      : undefined;
    if (refused === undefined) {
      refusedContacts.delete(server.name);
    } else {
      refusedContacts.set(server.name, refused);
    }
    const settlement = answer.isOk
      ? decodeKeySettlement(answer.value)
      : undefined;
    apply(
      key,
      settlement === undefined
        ? {
          kind: LedgerEventKind.Unanswered,
          from: server.name,
          attemptIdentifier,
          goneAt: options.getGoneVms().get(server.vm),
          refused,
        }
        : {
          kind: LedgerEventKind.Answered,
          from: server.name,
          attemptIdentifier,
          settlement,
        },
    );
  };
  const getFormerServers = (): readonly LedgerServer[] =>
    Array.from(removed.values()).map(({ server }) => server);

  return {
    request: (call, callbacks) => {
      const { now } = createContext();
      entries.sweep(now);
      if (ownServer === undefined || call.key === undefined) {
        callbacks.onRefused({
          reason: RefusalReason.BackendServerUnknown,
          mayHaveRun: false,
        });
        return;
      }
      const { value, firstAttemptAt } = call.key;
      const isNew = entries.get(value, now) === undefined;
      if (isNew && entries.size >= maximumKeys) {
        callbacks.onRefused({ reason: RefusalReason.Full, mayHaveRun: false });
        return;
      }
      const attemptIdentifier = getAttemptIdentifier(call);
      const gone = options.getGoneVms();
      const isGone = ({ vm }: LedgerServer) =>
        firstAttemptAt !== undefined &&
        firstAttemptAt > (gone.get(vm) ?? Infinity) +
            settings.timing.clockSkewMilliseconds;
      waiting.set(attemptIdentifier, callbacks);
      apply(value, {
        kind: LedgerEventKind.Requested,
        fingerprint: getRequestFingerprint(call),
        attemptIdentifier,
        firstAttemptAt,
        predecessors: getPredecessors(
          [...servers, ...getFormerServers()],
          value,
          { self, firstAttemptAt, ledgerSince, isGone },
        ),
      });
    },
    conclude: (call, outcome, answer) => {
      if (call.key === undefined) {
        return;
      }
      const attemptIdentifier = getAttemptIdentifier(call);
      waiting.delete(attemptIdentifier);
      apply(call.key.value, {
        kind: LedgerEventKind.Concluded,
        attemptIdentifier,
        outcome,
        answer,
      });
    },
    settle: ({ service, key }, by) => {
      if (service !== (ownService ?? service)) {
        return unknownSettlement;
      }
      const effects = apply(key, { kind: LedgerEventKind.Asked, by });
      const reply = effects.find((effect) =>
        effect.kind === LedgerEffectKind.Reply
      );
      return reply?.kind === LedgerEffectKind.Reply
        ? reply.settlement
        : unknownSettlement;
    },
    applySnapshot: (snapshot) => {
      const now = clock.now();
      const found = snapshot.backendServers.get(self);
      const registered = found === undefined
        ? []
        : snapshot.services.get(found.service)?.backendServers ?? [];
      removed = updateRemoved(removed, servers, {
        registered,
        now,
        keptMilliseconds: settings.timing.keyLifetimeMilliseconds,
      });
      servers = registered.map(getLedgerServer);
      // While the backend server was not in the register, nobody asked here
      // before running a key elsewhere.
      if (found !== undefined && ownServer === undefined) {
        ledgerSince = now;
      }
      // Keys belong to a service.
      if (found !== undefined && found.service !== ownService) {
        ledgerSince = now;
        entries = createLedgerEntries();
        ownService = found.service;
      }
      ownServer = found;
    },
  };
}

function createLedgerEntries(): KeptMap<LedgerEntry> {
  return createKeptMap<LedgerEntry>({
    maximumBytes: keptAnswerBytes,
    getBytes: (entry) =>
      entry.kind === LedgerEntryKind.Finished
        ? entry.answer?.body.byteLength ?? 0
        : 0,
    strip: (entry) =>
      entry.kind === LedgerEntryKind.Finished
        ? { ...entry, answer: undefined }
        : entry,
  });
}

interface RemovedServer {
  readonly server: LedgerServer;
  /** In milliseconds since the Unix epoch. */
  readonly removedAt: number;
}

const unknownSettlement: KeySettlement = { kind: SettlementKind.Unknown };

function getLedgerServer(server: BackendServer): LedgerServer {
  const { name, vm, nodeAddress } = server;
  return { name, vm, nodeAddress };
}

/** Adds the servers that have left the register, and drops those that are back or that no kept key can have run at. */
function updateRemoved(
  removed: ReadonlyMap<string, RemovedServer>,
  former: readonly LedgerServer[],
  current: {
    readonly registered: readonly { readonly name: string }[];
    readonly now: number;
    readonly keptMilliseconds: number;
  },
): ReadonlyMap<string, RemovedServer> {
  const names = new Set(current.registered.map(({ name }) => name));
  return new Map([
    ...removed,
    ...former.map((server) =>
      [server.name, { server, removedAt: current.now }] as const
    ),
  ].filter(([name, { removedAt }]) =>
    !names.has(name) && current.now < removedAt + current.keptMilliseconds
  ));
}
