import type { PipelinedRequest } from "./pipelined_request.ts";

/**
 * The requests of one connection that have no complete response, in the order
 * in which they arrived. Mutable.
 */
export interface Pipeline {
  /** Requests that were begun. */
  readonly begun: Set<PipelinedRequest>;
  /** Requests that wait until one that was begun has its response. */
  waiting: readonly PipelinedRequest[];
  /** Whether a response ends the connection, so that no further request begins. */
  isClosed: boolean;
}
