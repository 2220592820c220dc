import type { CallerService } from "./caller_service.ts";

/** One attempt of a call. */
export interface PlannedCall {
  readonly service: CallerService;
  readonly token: string;
  /** Undefined where the call carries no key. */
  readonly key: string | undefined;
  /** 1 for the first. */
  readonly attempt: number;
  /** In milliseconds since the Unix epoch. */
  readonly firstAttemptAt: number;
  /** Index of the node that is asked. */
  readonly node: number;
  /** How long the caller waits before it hangs up; undefined where it stays. */
  readonly patienceMilliseconds: number | undefined;
}
