import { isHeaderList } from "./is_header_list.ts";
import { isReplyMessage } from "./is_reply_message.ts";
import type { ReplyHead } from "./reply_head.ts";

const statusMinimum = 100;
const statusMaximum = 999;

/** Whether decoded JSON is the head of a reply on an offer connection. */
export function isReplyHead(input: unknown): input is ReplyHead {
  if (typeof input !== "object" || input === null) return false;
  const head = input as Partial<Record<keyof ReplyHead, unknown>>;
  return isReplyMessage(head.reply) && typeof head.status === "number" &&
    Number.isInteger(head.status) && head.status >= statusMinimum &&
    head.status <= statusMaximum && isHeaderList(head.headers);
}
