import { updateAverage } from "../collections/update_average.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Share of the newest observation in the moving average. */
const newestWeight = 0.1;

/** Takes the size of an answer into the average of its route. */
export function recordAnswerBytes(
  node: MeshNode,
  options: { readonly route: string; readonly bytes: number },
): void {
  updateAverage(node.answerBytes, options.route, {
    newest: options.bytes,
    share: newestWeight,
  });
}
