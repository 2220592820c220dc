import type { LedgerMessage } from "./ledger_message.ts";
import type { LedgerNode } from "./ledger_node.ts";

/** A simulation of the ledgers of a service for one key and of the messages between them. */
export interface LedgerSimulation {
  /** Milliseconds since the Unix epoch, without clock skew. */
  now: number;
  /** Ordered by rank: the first node owns the key while its backend server is eligible. */
  readonly nodes: readonly LedgerNode[];
  readonly messages: LedgerMessage[];
  /** When the VM was found to be missing from the platform's list, by position in rank. */
  readonly goneAt: Map<number, number>;
  /** Instant of the caller's first attempt, by the caller's clock. */
  firstAttemptAt: number | undefined;
  /** Whether the caller sends the instant of its first attempt. */
  sendsFirstAttempt: boolean;
  /** Number of attempts sent so far. */
  attempts: number;
  /** How often a backend server started to run the key. */
  runs: number;
  /** Outcome of each attempt by its identifier: `answered`, `unreachable` or the reason of the refusal. */
  readonly outcomes: Map<string, string>;
}
