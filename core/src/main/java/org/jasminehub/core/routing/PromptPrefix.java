package org.jasminehub.core.routing;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jasminehub.core.internal.Checks;

/**
 * The prefixes of a prompt that a prefix cache may hold, shortest first.
 *
 * @param blocks the prefixes, each one block longer than the one before it
 */
public record PromptPrefix(List<Block> blocks) {
    /** The number of characters in a block. */
    public static final int BLOCK_CHARS = 1024;
    /** The largest number of blocks considered; a longer common prefix brings no further benefit. */
    public static final int MAX_BLOCKS = 16;

    private static final int CHARS_PER_TOKEN = 4;

    /**
     * A prefix that ends at a block boundary.
     *
     * @param hash the hash of the complete prefix
     * @param tokens the estimated number of tokens in the prefix
     */
    public record Block(long hash, long tokens) {
        /** Creates a block; {@code tokens} must be positive. */
        public Block {
            Checks.positive("tokens", tokens);
        }
    }

    /** Creates a list of prefixes. */
    public PromptPrefix {
        blocks = List.copyOf(blocks);
    }

    /** Returns an empty list of prefixes, for a prompt that shares none with other prompts. */
    public static PromptPrefix none() {
        return new PromptPrefix(List.of());
    }

    /** Returns the prefixes of a prompt that consist of complete blocks. */
    public static PromptPrefix ofText(String prompt) {
        List<Block> blocks = new ArrayList<>();
        long previousHash = 0;
        int end = BLOCK_CHARS;
        while (end <= prompt.length() && blocks.size() < MAX_BLOCKS) {
            Hasher hasher = Hashing.murmur3_128().newHasher().putLong(previousHash);
            HashCode hash = hasher.putString(prompt.substring(end - BLOCK_CHARS, end), StandardCharsets.UTF_8)
                    .hash();
            previousHash = hash.asLong();
            blocks.add(new Block(previousHash, end / CHARS_PER_TOKEN));
            end += BLOCK_CHARS;
        }
        return new PromptPrefix(blocks);
    }
}
