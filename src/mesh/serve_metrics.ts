import type { ServerResponse } from "node:http";
import { getMeshGauges } from "./get_mesh_gauges.ts";
import { listQuotaCounts } from "./list_quota_counts.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Responds to a scrape with counters, histograms and gauges. */
export function serveMetrics(node: MeshNode, response: ServerResponse): void {
  void node.metrics.render(getMeshGauges(node), listQuotaCounts(node)).then((
    text,
  ) =>
    response.writeHead(200, { "content-type": "text/plain; version=0.0.4" })
      .end(text)
  );
}
