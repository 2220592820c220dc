import test from "ava";
import fc from "fast-check";
import { match } from "ts-pattern";
import type { CallEffect } from "./call_effect.ts";
import { CallEffectKind } from "./call_effect_kind.ts";
import type { CallEvent } from "./call_event.ts";
import { CallEventKind } from "./call_event_kind.ts";
import { createCallState } from "./create_call_state.ts";
import { createDispatchState } from "./create_dispatch_state.ts";
import { createRefusal } from "./create_refusal.ts";
import type { DispatchEffect } from "./dispatch_effect.ts";
import { DispatchEffectKind } from "./dispatch_effect_kind.ts";
import type { DispatchEvent } from "./dispatch_event.ts";
import { DispatchEventKind } from "./dispatch_event_kind.ts";
import type { DispatchState } from "./dispatch_state.ts";
import { Outcome } from "./outcome.ts";
import { RefusalReason } from "./refusal_reason.ts";
import type { Settlement } from "./settlement.ts";
import { SettlementKind } from "./settlement_kind.ts";
import { stepCall } from "./step_call.ts";
import { stepDispatch } from "./step_dispatch.ts";

const seed = 20261204;
const deadline = 3000;
const servers = ["a", "b", "c"];
const answer = {
  head: { status: 200, headers: [], declaredLength: 0 },
  body: new Uint8Array(0),
};

enum CommandKind {
  /** The forwarded call reaches the other node. */
  Arrive = "arrive",
  Admit = "admit",
  RefuseAdmission = "refuse-admission",
  /** The backend server begins to run the call. */
  Begin = "begin",
  Answer = "answer",
  Shed = "shed",
  Break = "break",
  /** The connection between the nodes is lost for the node of the caller. */
  LoseContact = "lose-contact",
  /** The connection between the nodes is lost for the other node. */
  LoseContactAtReceiver = "lose-contact-at-receiver",
  /** The reply of the other node reaches the node of the caller. */
  DeliverReply = "deliver-reply",
  DeliverQuery = "deliver-query",
  DeliverSettlement = "deliver-settlement",
  LoseQuery = "lose-query",
  CallerLeaves = "caller-leaves",
  Wait = "wait",
}

interface Command {
  readonly kind: CommandKind;
  readonly pick: number;
  readonly milliseconds: number;
}

/** One attempt: in transit, at the other node and at the backend server. */
interface AttemptModel {
  readonly server: string;
  readonly attempt: number;
  arrived: boolean;
  state: DispatchState | undefined;
  queued: boolean;
  dispatched: boolean;
  begun: boolean;
  admitted: number;
  reported: number;
  settlement: Settlement | undefined;
  reply: CallEvent | undefined;
  /** Whether the node of the caller still waits for this attempt. */
  current: boolean;
}

/** Models one call, the nodes beside three backend servers, and the messages between them. */
function createModel(options: { readonly idempotent: boolean }) {
  let now = 0;
  let state = createCallState({
    idempotent: options.idempotent,
    repeatsPossible: false,
    deadline,
  });
  const attempts: AttemptModel[] = [];
  const ends: CallEffect[] = [];
  let query:
    | { readonly attempt: AttemptModel; answer: Settlement | undefined }
    | undefined;

  const applyEvent = (event: CallEvent) => {
    const step = stepCall(state, event, { now, retryAllowed: true });
    state = step.state;
    step.effects.forEach(performEffect);
  };
  const performEffect = (effect: CallEffect) => {
    const last = attempts.at(-1);
    match(effect.kind)
      .with(CallEffectKind.StartAttempt, () => {
        const excluded = effect.kind === CallEffectKind.StartAttempt
          ? effect.excluded
          : [];
        sendAttempt(servers.filter((name) => !excluded.includes(name)));
      })
      .with(CallEffectKind.CancelAttempt, () => {
        if (last !== undefined) {
          last.current = false;
        }
      })
      .with(CallEffectKind.QueryOutcome, () => {
        query = { attempt: last!, answer: undefined };
      })
      .with(
        CallEffectKind.Refuse,
        CallEffectKind.SendAnswer,
        CallEffectKind.SendStoredAnswer,
        CallEffectKind.AbortResponse,
        CallEffectKind.Abandon,
        () => {
          ends.push(effect);
        },
      )
      .with(
        CallEffectKind.AvoidNode,
        CallEffectKind.StopAvoiding,
        CallEffectKind.RenewConnections,
        CallEffectKind.BeginStream,
        CallEffectKind.EndStream,
        CallEffectKind.SpendRetry,
        () => undefined,
      )
      .exhaustive();
  };
  const sendAttempt = (eligible: readonly string[]) => {
    const server = eligible[attempts.length % Math.max(1, eligible.length)];
    if (server === undefined) {
      applyEvent({
        kind: CallEventKind.NoCandidate,
        refusal: createRefusal(RefusalReason.NoBackendServer, Outcome.NotRun, {
          now,
        }),
      });
      return;
    }
    attempts.push({
      server,
      attempt: state.attempt,
      arrived: false,
      state: undefined,
      queued: false,
      dispatched: false,
      begun: false,
      admitted: 0,
      reported: 0,
      settlement: undefined,
      reply: undefined,
      current: true,
    });
    applyEvent({
      kind: CallEventKind.Sent,
      backendServer: server,
      remote: true,
    });
  };
  const applyDispatch = (attempt: AttemptModel, event: DispatchEvent) => {
    if (attempt.state === undefined) {
      return;
    }
    const step = stepDispatch(attempt.state, event, { now });
    attempt.state = step.state;
    step.effects.forEach((effect) => performDispatchEffect(attempt, effect));
  };
  const performDispatchEffect = (
    attempt: AttemptModel,
    effect: DispatchEffect,
  ) =>
    match(effect)
      .with({ kind: DispatchEffectKind.RequestSlot }, () => {
        attempt.queued = true;
      })
      .with({ kind: DispatchEffectKind.WithdrawRequest }, () => {
        attempt.queued = false;
      })
      .with({ kind: DispatchEffectKind.Dispatch }, () => {
        attempt.dispatched = true;
      })
      .with({ kind: DispatchEffectKind.Report }, () => {
        attempt.reported += 1;
      })
      .with({ kind: DispatchEffectKind.RecordOutcome }, ({ outcome }) => {
        attempt.settlement = outcome === SettlementKind.Finished
          ? { kind: outcome, answer }
          : { kind: outcome };
      })
      .with({ kind: DispatchEffectKind.Refuse }, ({ refusal }) => {
        attempt.reply = { kind: CallEventKind.Refused, refusal };
      })
      .with({ kind: DispatchEffectKind.SendAnswer }, () => {
        attempt.reply = { kind: CallEventKind.AnswerCompleted };
      })
      .otherwise(() => undefined);
  const deliverAttempt = (attempt: AttemptModel) => {
    if (attempt.arrived) {
      return;
    }
    attempt.arrived = true;
    attempt.state = createDispatchState({
      idempotent: options.idempotent,
      keyed: false,
      deadline,
      now,
      remote: true,
    });
    applyDispatch(attempt, {
      kind: DispatchEventKind.Arrived,
      refusalReason: attempt.settlement === undefined
        ? undefined
        : RefusalReason.Fenced,
    });
  };
  const admitAttempt = (attempt: AttemptModel) => {
    if (attempt.queued) {
      attempt.queued = false;
      attempt.admitted += 1;
      applyDispatch(attempt, { kind: DispatchEventKind.Admitted });
    }
  };
  const deliverQuery = () => {
    if (query === undefined || query.answer !== undefined) {
      return;
    }
    const attempt = query.attempt;
    if (attempt.arrived && attempt.settlement === undefined) {
      applyDispatch(attempt, { kind: DispatchEventKind.OutcomeQueried });
      query.answer = { kind: SettlementKind.Running };
      return;
    }
    attempt.settlement ??= { kind: SettlementKind.NotRun };
    query.answer = attempt.settlement;
  };
  const runCommand = (command: Command) => {
    const attempt = attempts.at(
      -1 - command.pick % Math.max(1, attempts.length),
    );
    if (attempt === undefined) {
      return;
    }
    match(command.kind)
      .with(CommandKind.Arrive, () => deliverAttempt(attempt))
      .with(CommandKind.Admit, () => admitAttempt(attempt))
      .with(CommandKind.RefuseAdmission, () => {
        if (attempt.queued) {
          attempt.queued = false;
          applyDispatch(attempt, {
            kind: DispatchEventKind.AdmissionRefused,
            reason: RefusalReason.Full,
            retryAt: now,
          });
        }
      })
      .with(CommandKind.Begin, () => {
        attempt.begun ||= attempt.dispatched;
      })
      .with(CommandKind.Answer, () => {
        if (attempt.begun) {
          applyDispatch(attempt, {
            kind: DispatchEventKind.AnswerCompleted,
            overloaded: false,
          });
        }
      })
      .with(CommandKind.Shed, () => {
        if (attempt.dispatched && !attempt.begun) {
          attempt.dispatched = false;
          applyDispatch(attempt, {
            kind: DispatchEventKind.Shed,
            retryAt: now,
          });
        }
      })
      .with(CommandKind.Break, () => {
        if (attempt.dispatched) {
          applyDispatch(attempt, { kind: DispatchEventKind.Broken });
        }
      })
      .with(CommandKind.LoseContact, () => {
        if (attempt.current && attempt === attempts.at(-1)) {
          attempt.current = false;
          applyEvent({ kind: CallEventKind.ContactLost });
        }
      })
      .with(
        CommandKind.LoseContactAtReceiver,
        () => applyDispatch(attempt, { kind: DispatchEventKind.ContactLost }),
      )
      .with(CommandKind.DeliverReply, () => {
        if (
          attempt.current && attempt.reply !== undefined &&
          attempt === attempts.at(-1)
        ) {
          attempt.current = false;
          applyEvent(attempt.reply);
        }
      })
      .with(CommandKind.DeliverQuery, deliverQuery)
      .with(CommandKind.DeliverSettlement, () => {
        const settlement = query?.answer;
        if (settlement !== undefined) {
          query = undefined;
          applyEvent({ kind: CallEventKind.SettlementReceived, settlement });
        }
      })
      .with(CommandKind.LoseQuery, () => {
        if (query !== undefined) {
          query = undefined;
          applyEvent({ kind: CallEventKind.OutcomeQueryFailed });
        }
      })
      .with(
        CommandKind.CallerLeaves,
        () => applyEvent({ kind: CallEventKind.CallerLeft }),
      )
      .with(CommandKind.Wait, () => {
        now += command.milliseconds;
        applyEvent({ kind: CallEventKind.TimerFired });
        attempts.forEach((attempt) =>
          applyDispatch(attempt, { kind: DispatchEventKind.TimerFired })
        );
      })
      .exhaustive();
  };
  /** Delivers, admits and begins every attempt that still can be. */
  const finish = () => {
    attempts.forEach((attempt) => {
      deliverAttempt(attempt);
      admitAttempt(attempt);
      attempt.begun ||= attempt.dispatched;
    });
    now = deadline;
    attempts.forEach((attempt) =>
      applyDispatch(attempt, { kind: DispatchEventKind.TimerFired })
    );
  };
  applyEvent({ kind: CallEventKind.Started });
  return { runCommand, finish, ends, attempts };
}

const weights: Readonly<Record<CommandKind, number>> = {
  [CommandKind.Arrive]: 30,
  [CommandKind.Admit]: 16,
  [CommandKind.RefuseAdmission]: 16,
  [CommandKind.Begin]: 12,
  [CommandKind.Answer]: 16,
  [CommandKind.Shed]: 12,
  [CommandKind.Break]: 2,
  [CommandKind.LoseContact]: 6,
  [CommandKind.LoseContactAtReceiver]: 6,
  [CommandKind.DeliverReply]: 30,
  [CommandKind.DeliverQuery]: 24,
  [CommandKind.DeliverSettlement]: 24,
  [CommandKind.LoseQuery]: 1,
  [CommandKind.CallerLeaves]: 1,
  [CommandKind.Wait]: 20,
};

// Without the bias of fast-check towards short and repetitive lists, in which
// calls seldom end.
const commands = fc.noBias(fc.array(
  fc.record({
    kind: fc.oneof(
      ...Object.values(CommandKind).map((kind) => ({
        arbitrary: fc.constant(kind),
        weight: weights[kind],
      })),
    ),
    /** Index of the attempt, counted from the last. */
    pick: fc.constantFrom(0, 0, 0, 0, 0, 0, 1, 1, 2, 3),
    milliseconds: fc.constantFrom(20, 20, 20, 150, 150, 520),
  }),
  { minLength: 5, maxLength: 120, size: "max" },
));

function isNotRunRefusal(effect: CallEffect): boolean {
  return effect.kind === CallEffectKind.Refuse &&
    effect.refusal.outcome === Outcome.NotRun;
}

[false, true].forEach((idempotent) =>
  test(`a call refused as not run never runs, each call ends once, and each slot is released once (idempotent: ${idempotent})`, (t) => {
    let notRun = 0;
    let answered = 0;
    fc.assert(
      fc.property(commands, (list) => {
        const model = createModel({ idempotent });
        list.forEach(model.runCommand);
        model.finish();
        const runs = model.attempts.filter(({ begun }) => begun).length;
        const refusedAsNotRun = model.ends.some(isNotRunRefusal);
        notRun += refusedAsNotRun ? 1 : 0;
        answered += model.ends.some(({ kind }) =>
            kind === CallEffectKind.SendAnswer ||
            kind === CallEffectKind.SendStoredAnswer
          )
          ? 1
          : 0;
        return model.ends.length <= 1 &&
          (!refusedAsNotRun || runs === 0) &&
          (idempotent || runs <= 1) &&
          model.attempts.every((attempt) =>
            attempt.reported === attempt.admitted
          );
      }),
      { seed, numRuns: 5000 },
    );
    // Ensures that the generated sequences reach these ends often enough for
    // the property to be meaningful.
    t.true(notRun > 20);
    t.true(answered > 150);
  })
);
