import type * as z from "zod";
import type { StoredAnswer } from "./stored_answer.ts";
import type { storedAnswerSchema } from "./stored_answer_schema.ts";

/** Decodes a stored answer of a control message. */
export function decodeStoredAnswer(
  message: z.infer<typeof storedAnswerSchema>,
): StoredAnswer {
  const { status, headers, declaredLength } = message;
  return {
    head: { status, headers, declaredLength },
    body: Buffer.from(message.body, "base64"),
  };
}
