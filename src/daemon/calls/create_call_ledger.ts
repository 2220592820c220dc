import { match } from "ts-pattern";
import type { CallsRuntimeOptions } from "../../calls/calls_runtime_options.ts";
import { getAttemptIdentifier } from "../../calls/get_attempt_identifier.ts";
import { getPredecessors } from "../../calls/get_predecessors.ts";
import { getRequestFingerprint } from "../../calls/get_request_fingerprint.ts";
import type { KeySettlement } from "../../calls/key_settlement.ts";
import type { LedgerEffect } from "../../calls/ledger_effect.ts";
import { LedgerEffectKind } from "../../calls/ledger_effect_kind.ts";
import type { LedgerEvent } from "../../calls/ledger_event.ts";
import { LedgerEventKind } from "../../calls/ledger_event_kind.ts";
import type { LedgerRegister } from "../../calls/ledger_register.ts";
import type { LedgerServer } from "../../calls/ledger_server.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { SettlementKind } from "../../calls/settlement_kind.ts";
import { stepLedger } from "../../calls/step_ledger.ts";
import { updateLedgerRegister } from "../../calls/update_ledger_register.ts";
import { queryLedger } from "./query_ledger.ts";
import type { CallLedger } from "./call_ledger.ts";
import { createLedgerEntries } from "./create_ledger_entries.ts";
import { createRefusedContacts } from "./create_refused_contacts.ts";

type Callbacks = Parameters<CallLedger["request"]>[1];

/** Limit above which calls with new keys are refused: a call whose key was evicted could run twice. */
const keysMaximum = 200_000;
const unknownSettlement: KeySettlement = { kind: SettlementKind.Unknown };

/** Creates the ledger of the backend server beside this node. */
export function createCallLedger(options: CallsRuntimeOptions): CallLedger {
  const { clock } = options.environment;
  const { keyLifetimeMilliseconds, clockSkewMilliseconds } =
    options.settings.timing;
  const self = options.settings.backendServer?.name ?? "";
  const refusedContacts = createRefusedContacts(
    options,
    (server) => isRegistered(server) && !options.getGoneVms().has(server.vm),
  );
  const isRegistered = (server: LedgerServer) =>
    register.servers.some(({ name }) => name === server.name);
  const waiting = new Map<string, Callbacks>();
  let entries = createLedgerEntries();
  let register: LedgerRegister = {
    service: undefined,
    own: undefined,
    servers: [],
    removed: [],
    ledgerSince: clock.now(),
  };

  const apply = (key: string, event: LedgerEvent): readonly LedgerEffect[] => {
    const now = clock.now();
    const step = stepLedger(entries.get(key, now), event, {
      now,
      ledgerSince: register.ledgerSince,
      keyLifetimeMilliseconds,
      clockSkewMilliseconds,
    });
    if (step.entry === undefined) {
      entries.delete(key);
    } else {
      const expiresAt = now + keyLifetimeMilliseconds + clockSkewMilliseconds;
      entries.set(key, step.entry, expiresAt);
    }
    step.effects.forEach((effect) => executeEffect(key, event, { effect }));
    return step.effects;
  };
  const removeCallbacks = (
    attemptIdentifier: string,
  ): Callbacks | undefined => {
    const callbacks = waiting.get(attemptIdentifier);
    waiting.delete(attemptIdentifier);
    return callbacks;
  };
  const executeEffect = (
    key: string,
    event: LedgerEvent,
    { effect }: { readonly effect: LedgerEffect },
  ) =>
    match(effect)
      .with({ kind: LedgerEffectKind.Query }, ({ server }) => {
        if ("attemptIdentifier" in event) {
          void queryServer(key, event.attemptIdentifier, { server });
        }
      })
      .with({ kind: LedgerEffectKind.Allow }, ({ attemptIdentifier }) => {
        removeCallbacks(attemptIdentifier)?.onAllowed();
      })
      .with({ kind: LedgerEffectKind.Join }, ({ attemptIdentifier }) => {
        waiting.get(attemptIdentifier)?.onJoined();
      })
      .with(
        { kind: LedgerEffectKind.SendStoredAnswer },
        ({ attemptIdentifier, answer }) => {
          removeCallbacks(attemptIdentifier)?.onAnswered(answer);
        },
      )
      .with(
        { kind: LedgerEffectKind.Refuse },
        ({ attemptIdentifier, reason, mayHaveRun }) => {
          removeCallbacks(attemptIdentifier)?.onRefused({ reason, mayHaveRun });
        },
      )
      .with({ kind: LedgerEffectKind.Reply }, () => undefined)
      .exhaustive();
  const queryServer = async (
    key: string,
    attemptIdentifier: string,
    { server }: { readonly server: LedgerServer },
  ) => {
    const { own, service } = register;
    if (own !== undefined && service !== undefined) {
      const event = await queryLedger(options, {
        server,
        by: own,
        service,
        key,
        attemptIdentifier,
        refusedContacts,
      });
      apply(key, event);
    }
  };
  const findPredecessors = (key: string, firstAttemptAt?: number) => {
    const goneVms = options.getGoneVms();
    const isGone = ({ vm }: LedgerServer) =>
      firstAttemptAt !== undefined &&
      firstAttemptAt > (goneVms.get(vm) ?? Infinity) + clockSkewMilliseconds;
    const former = register.removed.map(({ server }) => server);
    return getPredecessors([...register.servers, ...former], key, {
      self,
      firstAttemptAt,
      ledgerSince: register.ledgerSince,
      isGone,
    });
  };
  const findRefusalReason = (key: string): RefusalReason | undefined => {
    if (register.own === undefined) {
      return RefusalReason.BackendServerUnknown;
    }
    const isNew = entries.get(key, clock.now()) === undefined;
    return isNew && entries.size >= keysMaximum
      ? RefusalReason.Full
      : undefined;
  };

  return {
    request: (call, callbacks) => {
      const { value, firstAttemptAt } = call.key!;
      entries.sweep(clock.now());
      const reason = findRefusalReason(value);
      if (reason !== undefined) {
        callbacks.onRefused({ reason, mayHaveRun: false });
        return;
      }
      const attemptIdentifier = getAttemptIdentifier(call);
      waiting.set(attemptIdentifier, callbacks);
      apply(value, {
        kind: LedgerEventKind.Requested,
        fingerprint: getRequestFingerprint(call),
        attemptIdentifier,
        firstAttemptAt,
        predecessors: findPredecessors(value, firstAttemptAt),
      });
    },
    recordAttemptEnd: (call, end) => {
      const attemptIdentifier = getAttemptIdentifier(call);
      waiting.delete(attemptIdentifier);
      apply(call.key!.value, {
        kind: LedgerEventKind.AttemptEnded,
        attemptIdentifier,
        ...end,
      });
    },
    handleKeyQuery: ({ service, key }, by) => {
      if (register.service !== undefined && register.service !== service) {
        return unknownSettlement;
      }
      const effects = apply(key, { kind: LedgerEventKind.Queried, by });
      const reply = effects.find((effect) =>
        effect.kind === LedgerEffectKind.Reply
      );
      return reply?.kind === LedgerEffectKind.Reply
        ? reply.settlement
        : unknownSettlement;
    },
    recordRefusedContact: (server, refusedConnection) => {
      if (isRegistered(server) && server.name !== self) {
        refusedContacts.record(server, refusedConnection);
      }
    },
    stop: refusedContacts.stop,
    applySnapshot: (snapshot) => {
      const previous = register;
      register = updateLedgerRegister(previous, snapshot, {
        self,
        now: clock.now(),
        keyLifetimeMilliseconds,
      });
      // Keys are scoped to a service.
      if (
        previous.service !== undefined && previous.service !== register.service
      ) {
        entries = createLedgerEntries();
      }
    },
  };
}
