import type { IncomingMessage } from "node:http";
import type { BackendAnswerHead } from "./backend_answer_head.ts";
import type { BackendRequestContext } from "./backend_request_context.ts";
import type { CallerHead } from "./caller_head.ts";

/**
 * Translates between the mesh and the headers that callers and backend servers
 * use.
 */
export interface CallDialect {
  /** Returns what a caller states about its request. */
  readCallerHead(request: IncomingMessage): CallerHead;
  /**
   * Returns `headers` (alternating names and values) without the caller's key
   * and without the name of an organisation, which callers cannot set.
   */
  removeCallerIdentity(headers: readonly string[]): readonly string[];
  /**
   * Returns `headers` (alternating names and values) with the mesh's own
   * headers for a backend server added.
   */
  addBackendRequestHeaders(
    headers: readonly string[],
    context: BackendRequestContext,
  ): string[];
  /** Returns what a backend server states about its answer. */
  readBackendAnswerHead(answer: IncomingMessage): BackendAnswerHead;
}
