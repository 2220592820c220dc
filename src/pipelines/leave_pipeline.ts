import type { Pipeline } from "./pipeline.ts";
import type { PipelinedRequest } from "./pipelined_request.ts";
import { tryJoinPipeline } from "./try_join_pipeline.ts";

/** Removes a request that has its response, and begins the next one that waits. */
export function leavePipeline(
  pipeline: Pipeline,
  request: PipelinedRequest,
): void {
  if (!pipeline.begun.delete(request)) return;
  const [next, ...waiting] = pipeline.waiting;
  if (next === undefined) return;
  pipeline.waiting = waiting;
  tryJoinPipeline(pipeline, next);
}
