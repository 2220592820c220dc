import test from "ava";
import fc from "fast-check";
import { match, P } from "ts-pattern";
import type { KeySettlement } from "./key_settlement.ts";
import { extendRefusedContact } from "./extend_refused_contact.ts";
import { getPredecessors } from "./get_predecessors.ts";
import type { LedgerEffect } from "./ledger_effect.ts";
import { LedgerEffectKind } from "./ledger_effect_kind.ts";
import type { LedgerEntry } from "./ledger_entry.ts";
import type { LedgerEvent } from "./ledger_event.ts";
import { LedgerEventKind } from "./ledger_event_kind.ts";
import type { LedgerServer } from "./ledger_server.ts";
import type { RefusedContact } from "./refused_contact.ts";
import { RefusalReason } from "./refusal_reason.ts";
import { ledgerQuietMilliseconds } from "./ledger_quiet_milliseconds.ts";
import { SettlementKind } from "./settlement_kind.ts";
import { stepLedger } from "./step_ledger.ts";

const seed = 20261203;
const keyLifetimeMilliseconds = 600_000;
const start = 1_000_000;
const fingerprint = "same request";

interface ModelLedger {
  readonly server: LedgerServer;
  entry: LedgerEntry | undefined;
  ledgerSince: number;
  /** Incremented with each start of the process. */
  incarnation: number;
  running: boolean;
  goneAt: number | undefined;
  refused: Map<string, RefusedContact>;
  /** Whether its register contains the server that joins later. */
  hasJoinerInRegister: boolean;
}

interface Query {
  readonly from: ModelLedger;
  readonly fromIncarnation: number;
  readonly to: LedgerServer;
  readonly attemptIdentifier: string;
  answer: KeySettlement | undefined;
}

interface AllowedAttempt {
  readonly ledger: ModelLedger;
  readonly incarnation: number;
  readonly attemptIdentifier: string;
  hasRun: boolean;
}

enum CommandKind {
  Request = "request",
  DeliverQuery = "deliver-query",
  DeliverReply = "deliver-reply",
  LoseQuery = "lose-query",
  Run = "run",
  EndAttempt = "end-attempt",
  Kill = "kill",
  Start = "start",
  UpdateRegister = "update-register",
}

interface Command {
  readonly kind: CommandKind;
  readonly pick: number;
  readonly outcome: number;
  readonly milliseconds: number;
}

function createServer(name: string): LedgerServer {
  return { name, vm: name, nodeAddress: { host: "127.0.0.1", port: 1 } };
}

/** Models the ledgers of one service, one key, and the messages between them. */
function createModel(key: string, options: { readonly joiner: boolean }) {
  const ledgers = ["a", "b", "c", "d"].map((name): ModelLedger => ({
    server: createServer(name),
    entry: undefined,
    ledgerSince: start,
    incarnation: 0,
    running: true,
    goneAt: undefined,
    refused: new Map(),
    hasJoinerInRegister: !options.joiner,
  }));
  const joiner = ledgers[3]!;
  let now = start + ledgerQuietMilliseconds + 1;
  let attempts = 0;
  let runs = 0;
  let firstAttemptAt: number | undefined;
  const queries: Query[] = [];
  const allowed: AllowedAttempt[] = [];

  const applyEvent = (ledger: ModelLedger, event: LedgerEvent) => {
    const step = stepLedger(ledger.entry, event, {
      now,
      ledgerSince: ledger.ledgerSince,
      keyLifetimeMilliseconds,
      clockSkewMilliseconds: 0,
    });
    ledger.entry = step.entry;
    step.effects.forEach((effect) => performEffect(ledger, event, effect));
    return step.effects;
  };
  const performEffect = (
    ledger: ModelLedger,
    event: LedgerEvent,
    effect: LedgerEffect,
  ) =>
    match(effect)
      .with({ kind: LedgerEffectKind.Query }, ({ server }) => {
        queries.push({
          from: ledger,
          fromIncarnation: ledger.incarnation,
          to: server,
          attemptIdentifier: "attemptIdentifier" in event
            ? event.attemptIdentifier
            : "",
          answer: undefined,
        });
      })
      .with({ kind: LedgerEffectKind.Allow }, ({ attemptIdentifier }) => {
        allowed.push({
          ledger,
          incarnation: ledger.incarnation,
          attemptIdentifier,
          hasRun: false,
        });
      })
      .with({ kind: LedgerEffectKind.SendStoredAnswer }, () => undefined)
      .with({ kind: LedgerEffectKind.Refuse }, () => undefined)
      .with(
        { kind: P.union(LedgerEffectKind.Join, LedgerEffectKind.Reply) },
        () => undefined,
      )
      .exhaustive();
  const removeAt = <Item>(items: Item[], pick: number): Item | undefined =>
    items.length === 0 ? undefined : items.splice(pick % items.length, 1)[0];
  const isRegistered = (ledger: ModelLedger) =>
    ledger !== joiner || joiner.hasJoinerInRegister;

  const runCommand = (command: Command) => {
    now += command.milliseconds;
    const ledger = ledgers[command.pick % ledgers.length]!;
    match(command.kind)
      .with(CommandKind.Request, () => {
        if (!ledger.running || !isRegistered(ledger)) {
          return;
        }
        attempts += 1;
        firstAttemptAt ??= now;
        const first = firstAttemptAt;
        applyEvent(ledger, {
          kind: LedgerEventKind.Requested,
          fingerprint,
          attemptIdentifier: `attempt-${attempts}`,
          firstAttemptAt: first,
          predecessors: getPredecessors(
            ledgers
              .filter((other) => other !== joiner || ledger.hasJoinerInRegister)
              .map(({ server }) => server),
            key,
            {
              self: ledger.server.name,
              firstAttemptAt: first,
              ledgerSince: ledger.ledgerSince,
              isGone: ({ name }) =>
                first > (findLedger(name).goneAt ?? Infinity),
            },
          ),
        });
      })
      .with(CommandKind.DeliverQuery, () => {
        const query = queries[command.pick % queries.length];
        const target = query && findLedger(query.to.name);
        if (
          query === undefined || query.answer !== undefined ||
          target?.running !== true
        ) {
          return;
        }
        const reply = applyEvent(target, {
          kind: LedgerEventKind.Queried,
          by: query.from.server,
        }).find((effect) => effect.kind === LedgerEffectKind.Reply);
        query.answer = reply?.kind === LedgerEffectKind.Reply
          ? reply.settlement
          : undefined;
      })
      .with(CommandKind.DeliverReply, () => {
        const withReply = queries.filter(({ answer }) => answer !== undefined);
        const query = withReply[command.pick % withReply.length];
        if (query !== undefined) {
          queries.splice(queries.indexOf(query), 1);
          handleReply(query, query.answer);
        }
      })
      .with(CommandKind.LoseQuery, () => {
        const query = removeAt(queries, command.pick);
        if (query !== undefined) {
          handleReply(query, undefined);
        }
      })
      .with(CommandKind.Run, () => {
        const call = allowed[command.pick % allowed.length];
        if (
          call !== undefined && !call.hasRun && call.ledger.running &&
          call.ledger.incarnation === call.incarnation
        ) {
          call.hasRun = true;
          runs += 1;
        }
      })
      .with(CommandKind.EndAttempt, () => {
        const call = removeAt(allowed, command.pick);
        if (
          call === undefined || !call.ledger.running ||
          call.ledger.incarnation !== call.incarnation
        ) {
          return;
        }
        const finished = command.outcome % 2 === 0;
        applyEvent(call.ledger, {
          kind: LedgerEventKind.AttemptEnded,
          attemptIdentifier: call.attemptIdentifier,
          outcome: !call.hasRun
            ? SettlementKind.NotRun
            : finished
            ? SettlementKind.Finished
            : SettlementKind.Unknown,
          answer: call.hasRun && finished
            ? {
              head: { status: 200, headers: [], declaredLength: 0 },
              body: new Uint8Array(0),
            }
            : undefined,
        });
      })
      .with(CommandKind.Kill, () => {
        ledger.running = false;
        ledger.goneAt = command.outcome % 2 === 0 ? now : undefined;
      })
      .with(CommandKind.Start, () => {
        if (!ledger.running) {
          ledger.running = true;
          ledger.goneAt = undefined;
          ledger.entry = undefined;
          ledger.incarnation += 1;
          ledger.refused = new Map();
          ledger.ledgerSince = now;
        }
      })
      .with(CommandKind.UpdateRegister, () => {
        if (!ledger.hasJoinerInRegister) {
          ledger.hasJoinerInRegister = true;
          joiner.ledgerSince = ledger === joiner ? now : joiner.ledgerSince;
        }
      })
      .exhaustive();
  };
  const findLedger = (name: string) =>
    ledgers.find((ledger) => ledger.server.name === name)!;
  const handleReply = (query: Query, settlement: KeySettlement | undefined) => {
    const { from, fromIncarnation, to, attemptIdentifier } = query;
    if (!from.running || from.incarnation !== fromIncarnation) {
      return;
    }
    const target = findLedger(to.name);
    const refused = settlement === undefined && !target.running
      ? extendRefusedContact(from.refused.get(to.name), {
        begunAt: now,
        refusedAt: now,
      })
      : undefined;
    if (refused === undefined) {
      from.refused.delete(to.name);
    } else {
      from.refused.set(to.name, refused);
    }
    applyEvent(
      from,
      settlement === undefined
        ? {
          kind: LedgerEventKind.SettlementMissing,
          from: to.name,
          attemptIdentifier,
          goneAt: target.goneAt,
          refused,
        }
        : {
          kind: LedgerEventKind.SettlementReceived,
          from: to.name,
          attemptIdentifier,
          settlement,
        },
    );
  };
  return { runCommand, getRuns: () => runs };
}

/** Relative frequency of each kind of command. */
const commandWeights = {
  [CommandKind.Request]: 6,
  [CommandKind.DeliverQuery]: 10,
  [CommandKind.DeliverReply]: 10,
  [CommandKind.LoseQuery]: 2,
  [CommandKind.Run]: 6,
  [CommandKind.EndAttempt]: 3,
  [CommandKind.Kill]: 1,
  [CommandKind.Start]: 1,
  [CommandKind.UpdateRegister]: 0,
};

function createCommands(weights: Readonly<Record<CommandKind, number>>) {
  return fc.array(
    fc.record({
      kind: fc.oneof(
        ...Object.values(CommandKind).map((kind) => ({
          arbitrary: fc.constant(kind),
          weight: weights[kind],
        })),
      ),
      pick: fc.nat(23),
      outcome: fc.nat(1),
      milliseconds: fc.oneof(
        { arbitrary: fc.nat(50), weight: 20 },
        { arbitrary: fc.nat(2 * ledgerQuietMilliseconds), weight: 1 },
      ),
    }),
    { minLength: 10, maxLength: 80, size: "max" },
  );
}

test("no interleaving of attempts, owner changes, lost messages, kills and starts runs a key twice", (t) => {
  const counts = new Map<number, number>();
  fc.assert(
    fc.property(
      fc.nat(50).map(String),
      createCommands(commandWeights),
      (key, commands) => {
        const model = createModel(key, { joiner: false });
        commands.forEach(model.runCommand);
        counts.set(model.getRuns(), (counts.get(model.getRuns()) ?? 0) + 1);
        return model.getRuns() <= 1;
      },
    ),
    { seed, numRuns: 10_000 },
  );
  // Ensures that keys run often enough in the generated sequences for the
  // property to be meaningful.
  t.true((counts.get(1) ?? 0) > 2000);
});

test("no key runs twice while the nodes add a new backend server to their registers one by one", (t) => {
  let totalRuns = 0;
  fc.assert(
    fc.property(
      fc.nat(50).map(String),
      createCommands({ ...commandWeights, [CommandKind.UpdateRegister]: 4 }),
      (key, commands) => {
        const model = createModel(key, { joiner: true });
        commands.forEach(model.runCommand);
        totalRuns += model.getRuns();
        return model.getRuns() <= 1;
      },
    ),
    { seed, numRuns: 10_000 },
  );
  t.true(totalRuns > 2000);
});

const context = {
  now: start + ledgerQuietMilliseconds + 100,
  ledgerSince: start,
  keyLifetimeMilliseconds,
  clockSkewMilliseconds: 0,
};

function request(entry: LedgerEntry | undefined, firstAttemptAt?: number) {
  return stepLedger(entry, {
    kind: LedgerEventKind.Requested,
    fingerprint,
    attemptIdentifier: "attempt-1",
    firstAttemptAt,
    predecessors: [],
  }, context).effects[0];
}

test("a key that may be older than the ledger is refused, and one that the ledger covers may run", (t) => {
  const refusal = {
    kind: LedgerEffectKind.Refuse,
    attemptIdentifier: "attempt-1",
    reason: RefusalReason.KeyUnsettled,
  };
  t.like(request(undefined, undefined), refusal);
  t.like(request(undefined, start), refusal);
  t.like(request(undefined, start + 1), {
    ...refusal,
    reason: RefusalReason.NodeStarting,
  });
  t.like(request(undefined, start + ledgerQuietMilliseconds + 1), {
    kind: LedgerEffectKind.Allow,
  });
});

test("a settling ledger also queries the fencers that a reply names", (t) => {
  const [queried, fencer] = ["a", "b"].map(createServer);
  const firstAttemptAt = start + ledgerQuietMilliseconds + 1;
  const settling = stepLedger(undefined, {
    kind: LedgerEventKind.Requested,
    fingerprint,
    attemptIdentifier: "attempt-1",
    firstAttemptAt,
    predecessors: [queried!],
  }, context);
  const handleSettlement = (
    entry: LedgerEntry | undefined,
    from: string,
    fencers: readonly LedgerServer[],
  ) =>
    stepLedger(entry, {
      kind: LedgerEventKind.SettlementReceived,
      from,
      attemptIdentifier: "attempt-1",
      settlement: { kind: SettlementKind.NotRun, ledgerSince: start, fencers },
    }, context);
  const second = handleSettlement(settling.entry, "a", [fencer!]);
  t.deepEqual(second.effects, [{
    kind: LedgerEffectKind.Query,
    server: fencer!,
  }]);
  t.like(handleSettlement(second.entry, "b", []).effects[0], {
    kind: LedgerEffectKind.Allow,
  });
});
