import type { Pipeline } from "./pipeline.ts";

/** Creates the pipeline of a connection without requests. */
export function createPipeline(): Pipeline {
  return { begun: new Set(), waiting: [], isClosed: false };
}
