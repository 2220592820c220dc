import type { Pipeline } from "./pipeline.ts";
import type { PipelinedRequest } from "./pipelined_request.ts";

/**
 * Returns the requests in work that arrived after `request`, in their order;
 * none if `request` is not in work.
 */
export function listRequestsBehind(
  pipeline: Pipeline,
  request: PipelinedRequest,
): readonly PipelinedRequest[] {
  if (!pipeline.begun.has(request)) return [];
  const begun = Array.from(pipeline.begun);
  return begun.slice(begun.indexOf(request) + 1);
}
