import { updateAverage } from "../collections/update_average.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Weight of the newest size in the moving average. */
const newestWeight = 0.1;

/** Records the size of an answer in the moving average of its route. */
export function recordAnswerBytes(
  node: MeshNode,
  options: { readonly route: string; readonly bytes: number },
): void {
  updateAverage(node.answerBytes, options.route, {
    newest: options.bytes,
    weight: newestWeight,
  });
}
