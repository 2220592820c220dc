import { Hono } from "hono";
import { streamText } from "hono/streaming";
import type { RecentAuditTrail } from "../telemetry/recent_audit_trail.ts";
import type { NodeStatus } from "./node_status.ts";

const notReadyStatus = 503;
const notFoundStatus = 404;

/**
 * Creates the HTTP application of the operators' listener, which serves health,
 * metrics, status, the audit trail and the configuration document in force.
 */
export function createOperatorApplication(
  options: {
    readonly isReady: () => boolean;
    readonly getStatus: () => NodeStatus;
    readonly renderMetrics: () => Promise<string>;
    readonly getDocument: () => unknown;
    readonly auditTrail: RecentAuditTrail;
  },
): Hono {
  const application = new Hono();
  application.get("/health", (context) => {
    const ready = options.isReady();
    return context.json({ live: true, ready }, ready ? 200 : notReadyStatus);
  });
  application.get("/health/live", (context) => context.json({ live: true }));
  application.get(
    "/metrics",
    async (context) =>
      context.text(await options.renderMetrics(), 200, {
        "content-type": "text/plain; version=0.0.4; charset=utf-8",
      }),
  );
  application.get("/status", (context) => context.json(options.getStatus()));
  application.get("/configuration", (context) => {
    const document = options.getDocument();
    return document === undefined
      ? context.json({ error: "No configuration is in force" }, notFoundStatus)
      : context.json(document as object);
  });
  application.get("/trail", (context) => {
    const recent = options.auditTrail.getRecent();
    if (context.req.query("follow") === undefined) {
      return context.text(
        recent.map((entry) => `${JSON.stringify(entry)}\n`).join(""),
        200,
        { "content-type": "application/x-ndjson" },
      );
    }
    context.header("content-type", "application/x-ndjson");
    return streamText(context, async (stream) => {
      await stream.write(
        recent.map((entry) => `${JSON.stringify(entry)}\n`).join(""),
      );
      await new Promise<void>((resolve) => {
        const unfollow = options.auditTrail.follow((entry) => {
          stream.write(`${JSON.stringify(entry)}\n`);
        });
        stream.onAbort(() => {
          unfollow();
          resolve();
        });
      });
    });
  });
  application.notFound((context) =>
    context.json({
      error: "Unknown page",
      pages: [
        "/health",
        "/metrics",
        "/status",
        "/configuration",
        "/trail",
        "/trail?follow",
      ],
    }, notFoundStatus)
  );
  return application;
}
