import type { Socket } from "node:net";
import { closePipeline } from "../pipelines/close_pipeline.ts";
import { createPipeline } from "../pipelines/create_pipeline.ts";
import type { Pipeline } from "../pipelines/pipeline.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the pipeline of a caller's connection; creates it for the first
 * request. It is closed when the caller disconnects.
 *
 * The end of the connection's input is the earliest sign of that. A response
 * that waits for one before it reports no close at all.
 */
export function getCallerPipeline(node: MeshNode, socket: Socket): Pipeline {
  const existing = node.callerPipelines.get(socket);
  if (existing !== undefined) return existing;
  const pipeline = createPipeline();
  const close = () => closePipeline(pipeline, { behind: undefined });
  node.callerPipelines.set(socket, pipeline);
  socket.once("end", close);
  socket.once("close", close);
  return pipeline;
}
