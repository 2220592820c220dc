import type { LedgerMessage } from "./ledger_message.ts";
import type { LedgerNode } from "./ledger_node.ts";

/** The ledgers of one service for one key, with the messages between them. */
export interface LedgerSimulation {
  now: number;
  /** In rank: the first owns the key while its backend server is eligible. */
  readonly nodes: readonly LedgerNode[];
  readonly messages: LedgerMessage[];
  /** By position in rank: when the platform's list was seen to lack the VM. */
  readonly goneAt: Map<number, number>;
  /** The caller's first attempt, by the caller's clock. */
  firstAttemptAt: number | undefined;
  /** Whether the caller tells when it first tried. */
  sendsFirstAttempt: boolean;
  attempts: number;
  /** How often a backend server began to run the key. */
  runs: number;
  /** What each attempt was told: `answered`, or the reason of the refusal. */
  readonly outcomes: Map<string, string>;
}
