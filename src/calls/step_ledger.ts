import { match, P } from "ts-pattern";
import { isKeyWithinLedger } from "./is_key_within_ledger.ts";
import type { KeySettlement } from "./key_settlement.ts";
import type { LedgerContext } from "./ledger_context.ts";
import type { LedgerEffect } from "./ledger_effect.ts";
import { LedgerEffectKind } from "./ledger_effect_kind.ts";
import type { LedgerEntry } from "./ledger_entry.ts";
import { LedgerEntryKind } from "./ledger_entry_kind.ts";
import type { LedgerEvent } from "./ledger_event.ts";
import { LedgerEventKind } from "./ledger_event_kind.ts";
import { ledgerQuietMilliseconds } from "./ledger_quiet_milliseconds.ts";
import type { LedgerServer } from "./ledger_server.ts";
import type { LedgerStep } from "./ledger_step.ts";
import { RefusalReason } from "./refusal_reason.ts";
import { SettlementKind } from "./settlement_kind.ts";

type Requested = Extract<LedgerEvent, { kind: LedgerEventKind.Requested }>;
type Answered = Extract<LedgerEvent, { kind: LedgerEventKind.Answered }>;
type Unanswered = Extract<LedgerEvent, { kind: LedgerEventKind.Unanswered }>;
type Concluded = Extract<LedgerEvent, { kind: LedgerEventKind.Concluded }>;
type Settling = Extract<LedgerEntry, { kind: LedgerEntryKind.Settling }>;
type Running = Extract<LedgerEntry, { kind: LedgerEntryKind.Running }>;

/**
 * Advances one key of a ledger.
 *
 * Invariant over all ledgers of a service: before a ledger lets a key run, it
 * has a true "not run" from, and a fence in, every ledger that may have run it
 * before; a fenced ledger asks whoever fenced it before it runs the key itself.
 * So of two ledgers that both want to run a key, at least one learns of the
 * other. While a key settles here, other ledgers are told that it is running.
 */
export function stepLedger(
  entry: LedgerEntry | undefined,
  event: LedgerEvent,
  context: LedgerContext,
): LedgerStep {
  return match(event)
    .with(
      { kind: LedgerEventKind.Requested },
      (requested) => request(entry, requested, context),
    )
    .with(
      { kind: LedgerEventKind.Answered },
      (answered) => answer(entry, answered, context),
    )
    .with(
      { kind: LedgerEventKind.Unanswered },
      (unanswered) => miss(entry, unanswered, context),
    )
    .with(
      { kind: LedgerEventKind.Asked },
      ({ by }) => reply(entry, by, context),
    )
    .with(
      { kind: LedgerEventKind.Concluded },
      (concluded) => conclude(entry, concluded),
    )
    .exhaustive();
}

function request(
  entry: LedgerEntry | undefined,
  event: Requested,
  context: LedgerContext,
): LedgerStep {
  return match(entry)
    .with(
      P.union(undefined, { kind: LedgerEntryKind.Fenced }),
      (fenced) => requestUnseen(fenced?.fencers ?? [], event, context),
    )
    .with(
      { kind: LedgerEntryKind.Settling },
      (seen) => refuseSeen(seen, event, RefusalReason.KeyRunning),
    )
    .with({ kind: LedgerEntryKind.Running }, (seen) => joinRun(seen, event))
    .with(
      { kind: LedgerEntryKind.Unknown },
      (seen) => refuseSeen(seen, event, RefusalReason.KeyUnsettled),
    )
    .with(
      { kind: LedgerEntryKind.Finished },
      (seen) =>
        seen.answer === undefined || seen.fingerprint !== event.fingerprint
          ? refuseSeen(seen, event, RefusalReason.KeyUnsettled)
          : {
            entry: seen,
            effects: [
              {
                kind: LedgerEffectKind.AnswerWith,
                attemptIdentifier: event.attemptIdentifier,
                answer: seen.answer,
              } as const,
            ],
          },
    )
    .exhaustive();
}

/** Lets a repeat of a running request wait for its answer, which is on its way. */
function joinRun(entry: Running, event: Requested): LedgerStep {
  const { attemptIdentifier } = event;
  return entry.fingerprint === event.fingerprint
    ? {
      entry: { ...entry, joined: [...entry.joined, attemptIdentifier] },
      effects: [{ kind: LedgerEffectKind.Join, attemptIdentifier }],
    }
    : refuseSeen(entry, event, RefusalReason.KeyMismatch);
}

function refuseSeen(
  entry: LedgerEntry & { readonly fingerprint: string },
  event: Requested,
  reason: RefusalReason,
): LedgerStep {
  return refuse(
    entry,
    event,
    entry.fingerprint === event.fingerprint
      ? { reason, mayHaveRun: true }
      : { reason: RefusalReason.KeyMismatch, mayHaveRun: false },
  );
}

function refuse(
  entry: LedgerEntry | undefined,
  event: { readonly attemptIdentifier: string },
  options: { readonly reason: RefusalReason; readonly mayHaveRun: boolean },
): LedgerStep {
  const { attemptIdentifier } = event;
  return {
    entry,
    effects: [{
      kind: LedgerEffectKind.Refuse,
      attemptIdentifier,
      ...options,
    }],
  };
}

function requestUnseen(
  fencers: readonly LedgerServer[],
  event: Requested,
  context: LedgerContext,
): LedgerStep {
  const { fingerprint, attemptIdentifier, firstAttemptAt } = event;
  if (!isKeyWithinLedger(firstAttemptAt, context)) {
    return refuse(createFence(fencers), event, {
      reason: RefusalReason.KeyUnsettled,
      mayHaveRun: false,
    });
  }
  const quietEnd = context.ledgerSince + ledgerQuietMilliseconds;
  if (
    !isKeyWithinLedger(firstAttemptAt, { ...context, ledgerSince: quietEnd })
  ) {
    return refuse(createFence(fencers), event, {
      reason: RefusalReason.NodeStarting,
      mayHaveRun: false,
    });
  }
  const asked = addServers(event.predecessors, fencers);
  if (asked.length === 0) {
    return run(event);
  }
  return {
    entry: {
      kind: LedgerEntryKind.Settling,
      fingerprint,
      attemptIdentifier,
      firstAttemptAt,
      fencers,
      asked,
      pending: asked.map(({ name }) => name),
    },
    effects: asked.map((server) => ({ kind: LedgerEffectKind.Ask, server })),
  };
}

function createFence(
  fencers: readonly LedgerServer[],
): LedgerEntry | undefined {
  return fencers.length === 0
    ? undefined
    : { kind: LedgerEntryKind.Fenced, fencers };
}

function addServers(
  servers: readonly LedgerServer[],
  added: readonly LedgerServer[],
): readonly LedgerServer[] {
  return [
    ...servers,
    ...added.filter((server) =>
      !servers.some(({ name }) => name === server.name)
    ),
  ];
}

function run(
  call: { readonly fingerprint: string; readonly attemptIdentifier: string },
): LedgerStep {
  const { fingerprint, attemptIdentifier } = call;
  return {
    entry: {
      kind: LedgerEntryKind.Running,
      fingerprint,
      attemptIdentifier,
      joined: [],
    },
    effects: [{ kind: LedgerEffectKind.Allow, attemptIdentifier }],
  };
}

function isSettlingFor(
  entry: LedgerEntry | undefined,
  event: { readonly attemptIdentifier: string; readonly from: string },
): entry is Settling {
  return entry?.kind === LedgerEntryKind.Settling &&
    entry.attemptIdentifier === event.attemptIdentifier &&
    entry.pending.includes(event.from);
}

function answer(
  entry: LedgerEntry | undefined,
  event: Answered,
  context: LedgerContext,
): LedgerStep {
  if (!isSettlingFor(entry, event)) {
    return { entry, effects: [] };
  }
  return match<KeySettlement, LedgerStep>(event.settlement)
    .with({ kind: SettlementKind.Finished }, (settlement) =>
      request(
        { ...settlement, kind: LedgerEntryKind.Finished },
        { ...entry, kind: LedgerEventKind.Requested, predecessors: [] },
        context,
      ))
    .with(
      { kind: SettlementKind.Running },
      () =>
        giveUp(entry, {
          reason: RefusalReason.KeyRunning,
          mayHaveRun: true,
        }),
    )
    .with(
      { kind: SettlementKind.Unknown },
      () =>
        giveUp(entry, {
          reason: RefusalReason.KeyUnsettled,
          mayHaveRun: true,
        }),
    )
    .with(
      { kind: SettlementKind.NotRun },
      ({ ledgerSince, fencers }) =>
        isKeyWithinLedger(entry.firstAttemptAt, { ...context, ledgerSince })
          ? cross(entry, event.from, fencers)
          : giveUp(entry, {
            reason: RefusalReason.KeyUnsettled,
            mayHaveRun: false,
          }),
    )
    .exhaustive();
}

/** Stops settling; the key stays as open as it was. */
function giveUp(
  entry: Settling,
  options: { readonly reason: RefusalReason; readonly mayHaveRun: boolean },
): LedgerStep {
  return refuse(createFence(entry.fencers), entry, options);
}

/** Takes one server off the list of pending ones and adds those it names. */
function cross(
  entry: Settling,
  from: string,
  named: readonly LedgerServer[],
): LedgerStep {
  const asked = addServers(entry.asked, named);
  const added = asked.slice(entry.asked.length);
  const pending = [
    ...entry.pending.filter((name) => name !== from),
    ...added.map(({ name }) => name),
  ];
  return pending.length === 0 ? run(entry) : {
    entry: { ...entry, asked, pending },
    effects: added.map((server) => ({ kind: LedgerEffectKind.Ask, server })),
  };
}

/**
 * A server that does not answer may have run the key, unless its VM or its
 * process was gone before the first attempt and ever since.
 */
function miss(
  entry: LedgerEntry | undefined,
  event: Unanswered,
  context: LedgerContext,
): LedgerStep {
  if (!isSettlingFor(entry, event)) {
    return { entry, effects: [] };
  }
  return wasGone(entry.firstAttemptAt, event, context)
    ? cross(entry, event.from, [])
    : giveUp(entry, { reason: RefusalReason.KeyUnsettled, mayHaveRun: false });
}

function wasGone(
  firstAttemptAt: number | undefined,
  event: Unanswered,
  context: LedgerContext,
): boolean {
  if (firstAttemptAt === undefined) {
    return false;
  }
  const { now, clockSkewMilliseconds } = context;
  const { goneAt, refused } = event;
  const isLater = (instant: number) =>
    firstAttemptAt > instant + clockSkewMilliseconds;
  const vmGone = goneAt !== undefined && isLater(goneAt);
  const processGone = refused !== undefined && isLater(refused.since) &&
    now + clockSkewMilliseconds < refused.lastAt + ledgerQuietMilliseconds;
  return vmGone || processGone;
}

function reply(
  entry: LedgerEntry | undefined,
  by: LedgerServer,
  context: LedgerContext,
): LedgerStep {
  const createReply = (
    next: LedgerEntry | undefined,
    settlement: KeySettlement,
  ): LedgerStep => ({
    entry: next,
    effects: [{ kind: LedgerEffectKind.Reply, settlement }],
  });
  return match(entry)
    .with(P.union(undefined, { kind: LedgerEntryKind.Fenced }), (fenced) => {
      const fencers = fenced?.fencers ?? [];
      return createReply(createFence(addServers(fencers, [by])), {
        kind: SettlementKind.NotRun,
        ledgerSince: context.ledgerSince,
        fencers: fencers.filter(({ name }) => name !== by.name),
      });
    })
    .with(
      { kind: P.union(LedgerEntryKind.Settling, LedgerEntryKind.Running) },
      (seen) => createReply(seen, { kind: SettlementKind.Running }),
    )
    .with(
      { kind: LedgerEntryKind.Unknown },
      (seen) => createReply(seen, { kind: SettlementKind.Unknown }),
    )
    .with({ kind: LedgerEntryKind.Finished }, (seen) =>
      createReply(seen, {
        kind: SettlementKind.Finished,
        fingerprint: seen.fingerprint,
        answer: seen.answer,
      }))
    .exhaustive();
}

function conclude(
  entry: LedgerEntry | undefined,
  event: Concluded,
): LedgerStep {
  return match(entry)
    .with(
      { kind: LedgerEntryKind.Running },
      (running) =>
        running.attemptIdentifier === event.attemptIdentifier
          ? concludeRun(running, event)
          : { entry: leaveRun(running, event), effects: [] },
    )
    .with({ kind: LedgerEntryKind.Settling }, (settling) => ({
      entry: settling.attemptIdentifier === event.attemptIdentifier
        ? createConcluded(settling, event) ?? createFence(settling.fencers)
        : settling,
      effects: [],
    }))
    .otherwise(() => ({ entry, effects: [] }));
}

function leaveRun(
  entry: Running,
  { attemptIdentifier }: { readonly attemptIdentifier: string },
): Running {
  const joined = entry.joined.filter((joiner) => joiner !== attemptIdentifier);
  return { ...entry, joined };
}

/** Ends a run and tells every attempt that joined it what came of it. */
function concludeRun(entry: Running, event: Concluded): LedgerStep {
  const isAnswered = event.outcome === SettlementKind.Finished;
  const { answer } = event;
  return {
    entry: createConcluded(entry, event),
    effects: entry.joined.map((attemptIdentifier): LedgerEffect =>
      isAnswered && answer !== undefined
        ? { kind: LedgerEffectKind.AnswerWith, attemptIdentifier, answer }
        : {
          kind: LedgerEffectKind.Refuse,
          attemptIdentifier,
          ...getJoinedRefusal(event.outcome),
        }
    ),
  };
}

function getJoinedRefusal(
  outcome: Concluded["outcome"],
): { readonly reason: RefusalReason; readonly mayHaveRun: boolean } {
  return outcome === SettlementKind.NotRun
    ? { reason: RefusalReason.KeyRunning, mayHaveRun: false }
    : { reason: RefusalReason.KeyUnsettled, mayHaveRun: true };
}

/** Returns what is known of a key after its attempt ended; undefined where it did not run. */
function createConcluded(
  { fingerprint }: { readonly fingerprint: string },
  event: Concluded,
): LedgerEntry | undefined {
  return match(event.outcome)
    .with(SettlementKind.Finished, () => ({
      kind: LedgerEntryKind.Finished as const,
      fingerprint,
      answer: event.answer,
    }))
    .with(SettlementKind.Unknown, () => ({
      kind: LedgerEntryKind.Unknown as const,
      fingerprint,
    }))
    .with(SettlementKind.NotRun, () => undefined)
    .exhaustive();
}
