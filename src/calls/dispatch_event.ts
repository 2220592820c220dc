import type { DispatchEventKind } from "./dispatch_event_kind.ts";
import type { RefusalReason } from "./refusal_reason.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** An event of an attempt on the node beside its backend server, with its details. */
export type DispatchEvent =
  | {
    readonly kind: DispatchEventKind.Arrived;
    /** Why the node cannot accept the attempt, regardless of its key and of free slots. */
    readonly refusalReason: RefusalReason | undefined;
  }
  | {
    readonly kind: DispatchEventKind.KeyAnswered;
    readonly answer: StoredAnswer;
  }
  | {
    readonly kind: DispatchEventKind.KeyRefused;
    readonly reason: RefusalReason;
    /** Whether the ledger has an attempt that may have run. */
    readonly mayHaveRun: boolean;
  }
  | {
    readonly kind: DispatchEventKind.AdmissionRefused;
    readonly reason: RefusalReason;
    /** In milliseconds since the Unix epoch. */
    readonly retryAt: number;
  }
  | {
    readonly kind: DispatchEventKind.AnswerCompleted;
    /** Whether the status code shows that the backend server is overloaded. */
    readonly overloaded: boolean;
  }
  | {
    readonly kind: DispatchEventKind.Shed;
    /** In milliseconds since the Unix epoch. */
    readonly retryAt: number;
  }
  | {
    readonly kind:
      | DispatchEventKind.KeyAllowed
      | DispatchEventKind.KeyJoined
      | DispatchEventKind.Admitted
      | DispatchEventKind.StreamStarted
      | DispatchEventKind.StreamEnded
      | DispatchEventKind.NotConnected
      | DispatchEventKind.Broken
      | DispatchEventKind.ContactLost
      | DispatchEventKind.CallerLeft
      | DispatchEventKind.OutcomeQueried
      | DispatchEventKind.TimerFired
      | DispatchEventKind.Stopped;
  };
